package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Setting is one value that a branch sets itself.
type Setting struct {
	Key  string `json:"key" msgpack:"k"`
	Text string `json:"text" msgpack:"t"`
}

// Branch is one node of the tree: a path and the values set there, ordered by key.
type Branch struct {
	Path     string    `json:"path" msgpack:"p"`
	Settings []Setting `json:"settings" msgpack:"s"`
}

// Get returns the text that the branch itself sets for the key.
func (b Branch) Get(key string) (string, bool) {
	for _, setting := range b.Settings {
		if setting.Key == key {
			return setting.Text, true
		}
	}
	return "", false
}

// Hash identifies the content of the branch.
func (b Branch) Hash() uint64 {
	digest := xxhash.New()
	write := func(text string) { fmt.Fprintf(digest, "%d:%s", len(text), text) }
	write(b.Path)
	for _, setting := range b.Settings {
		write(setting.Key)
		write(setting.Text)
	}
	return digest.Sum64()
}

// Tree is an immutable set of branches, ordered by path.
type Tree struct {
	branches []Branch
}

// NewTree returns a tree of the branches. A path that occurs twice is merged,
// the later value winning. The result is not checked; see Tree.Compile.
func NewTree(branches ...Branch) *Tree {
	sorted := make([]Branch, len(branches))
	for i, branch := range branches {
		sorted[i] = Branch{Path: cleanPath(branch.Path), Settings: branch.Settings}
	}
	sort.SliceStable(sorted, func(i, j int) bool { return sorted[i].Path < sorted[j].Path })
	tree := &Tree{branches: make([]Branch, 0, len(sorted))}
	for _, branch := range sorted {
		last := len(tree.branches) - 1
		if last >= 0 && tree.branches[last].Path == branch.Path {
			branch.Settings = append(append([]Setting(nil), tree.branches[last].Settings...), branch.Settings...)
			tree.branches = tree.branches[:last]
		}
		tree.branches = append(tree.branches, Branch{Path: branch.Path, Settings: normalise(branch.Settings)})
	}
	return tree
}

// normalise orders settings by key; of a key that occurs twice the later counts.
func normalise(settings []Setting) []Setting {
	if len(settings) == 0 {
		return nil
	}
	ordered := append([]Setting(nil), settings...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Key < ordered[j].Key })
	kept := ordered[:0]
	for _, setting := range ordered {
		if last := len(kept) - 1; last >= 0 && kept[last].Key == setting.Key {
			kept[last] = setting
			continue
		}
		kept = append(kept, setting)
	}
	return kept
}

// Branches returns the branches in the order of their paths.
func (t *Tree) Branches() []Branch { return append([]Branch(nil), t.branches...) }

// Branch returns the branch at the path.
func (t *Tree) Branch(path string) (Branch, bool) {
	index, found := t.find(cleanPath(path))
	if !found {
		return Branch{}, false
	}
	return t.branches[index], true
}

// Set returns a tree in which the branch sets the key.
func (t *Tree) Set(path, key, text string) *Tree {
	path = cleanPath(path)
	branch, _ := t.Branch(path)
	changed := Branch{Path: path}
	for _, setting := range branch.Settings {
		if setting.Key != key {
			changed.Settings = append(changed.Settings, setting)
		}
	}
	changed.Settings = append(changed.Settings, Setting{Key: key, Text: text})
	sort.Slice(changed.Settings, func(i, j int) bool { return changed.Settings[i].Key < changed.Settings[j].Key })
	return t.withBranch(changed)
}

// Unset returns a tree in which the branch inherits the key. A branch without
// values of its own stays, so that an object can live on inherited values.
func (t *Tree) Unset(path, key string) *Tree {
	branch, found := t.Branch(path)
	if !found {
		return t
	}
	changed := Branch{Path: branch.Path}
	for _, setting := range branch.Settings {
		if setting.Key != key {
			changed.Settings = append(changed.Settings, setting)
		}
	}
	return t.withBranch(changed)
}

// Remove returns a tree without the branch at the path; branches below it stay.
func (t *Tree) Remove(path string) *Tree {
	index, found := t.find(cleanPath(path))
	if !found {
		return t
	}
	result := &Tree{branches: make([]Branch, 0, len(t.branches)-1)}
	result.branches = append(result.branches, t.branches[:index]...)
	result.branches = append(result.branches, t.branches[index+1:]...)
	return result
}

func (t *Tree) withBranch(branch Branch) *Tree {
	index, found := t.find(branch.Path)
	result := &Tree{branches: make([]Branch, 0, len(t.branches)+1)}
	result.branches = append(result.branches, t.branches[:index]...)
	result.branches = append(result.branches, branch)
	if found {
		index++
	}
	result.branches = append(result.branches, t.branches[index:]...)
	return result
}

func (t *Tree) find(path string) (int, bool) {
	index := sort.Search(len(t.branches), func(i int) bool { return t.branches[i].Path >= path })
	return index, index < len(t.branches) && t.branches[index].Path == path
}

// cleanPath drops surrounding and doubled slashes; the root is "".
func cleanPath(path string) string {
	parts := strings.FieldsFunc(path, func(r rune) bool { return r == '/' })
	return strings.Join(parts, "/")
}

// Change is one difference between two trees.
type Change struct {
	Path   string `json:"path"`
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff lists the values set in one tree and not, or otherwise, in the other.
func Diff(before, after *Tree) []Change {
	var changes []Change
	visit := func(path string) {
		old, _ := before.Branch(path)
		new, _ := after.Branch(path)
		changes = append(changes, diffBranch(old, new, path)...)
	}
	seen := map[string]bool{}
	for _, branch := range append(before.Branches(), after.Branches()...) {
		if seen[branch.Path] {
			continue
		}
		seen[branch.Path] = true
		visit(branch.Path)
	}
	sort.SliceStable(changes, func(i, j int) bool { return changes[i].Path < changes[j].Path })
	return changes
}

func diffBranch(before, after Branch, path string) []Change {
	var changes []Change
	for _, setting := range before.Settings {
		text, found := after.Get(setting.Key)
		if !found || text != setting.Text {
			changes = append(changes, Change{Path: path, Key: setting.Key, Before: setting.Text, After: text})
		}
	}
	for _, setting := range after.Settings {
		if _, found := before.Get(setting.Key); !found {
			changes = append(changes, Change{Path: path, Key: setting.Key, After: setting.Text})
		}
	}
	return changes
}
