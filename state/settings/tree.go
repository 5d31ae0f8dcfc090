package settings

import (
	"fmt"
	"sort"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Setting is a value that a branch sets, as text.
type Setting struct {
	Key  string `json:"key" msgpack:"k"`
	Text string `json:"text" msgpack:"t"`
}

// Branch is a node of the tree: a path and the settings of that path, ordered by key.
type Branch struct {
	Path     string    `json:"path" msgpack:"p"`
	Settings []Setting `json:"settings" msgpack:"s"`
}

// Get returns the text that the branch sets for the key, without inheritance, and
// whether it sets the key.
func (b Branch) Get(key string) (string, bool) {
	for _, setting := range b.Settings {
		if setting.Key == key {
			return setting.Text, true
		}
	}
	return "", false
}

// Hash returns a hash of the branch's path and settings.
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

// NewTree returns a tree of the branches. Branches with the same path are merged; of
// several values for a key the last one wins. The tree is not validated; see
// Tree.Compile.
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
		tree.branches = append(tree.branches, Branch{Path: branch.Path, Settings: sortAndDeduplicate(branch.Settings)})
	}
	return tree
}

// sortAndDeduplicate orders settings by key. Of several with the same key the last one
// wins.
func sortAndDeduplicate(settings []Setting) []Setting {
	if len(settings) == 0 {
		return nil
	}
	ordered := append([]Setting(nil), settings...)
	sort.SliceStable(ordered, func(i, j int) bool { return ordered[i].Key < ordered[j].Key })
	unique := ordered[:0]
	for _, setting := range ordered {
		if last := len(unique) - 1; last >= 0 && unique[last].Key == setting.Key {
			unique[last] = setting
			continue
		}
		unique = append(unique, setting)
	}
	return unique
}

// Branches returns the branches, ordered by path.
func (t *Tree) Branches() []Branch { return append([]Branch(nil), t.branches...) }

// Branch returns the branch at the path and whether it exists.
func (t *Tree) Branch(path string) (Branch, bool) {
	index, found := t.find(cleanPath(path))
	if !found {
		return Branch{}, false
	}
	return t.branches[index], true
}

// Set returns a tree in which the branch at the path sets the key to text. The branch
// is added if necessary.
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

// Unset returns a tree in which the branch at the path inherits the key. The branch
// stays even without settings, since an object may consist of inherited values.
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

// Remove returns a tree without the branch at the path. Branches below it stay.
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

// withBranch returns a tree that contains branch instead of the branch at its path.
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

// find returns the index of the branch at the path, or the index at which to insert
// it, and whether it exists.
func (t *Tree) find(path string) (int, bool) {
	index := sort.Search(len(t.branches), func(i int) bool { return t.branches[i].Path >= path })
	return index, index < len(t.branches) && t.branches[index].Path == path
}

// cleanPath removes surrounding and repeated slashes. The root is "".
func cleanPath(path string) string {
	elements := strings.FieldsFunc(path, func(r rune) bool { return r == '/' })
	return strings.Join(elements, "/")
}

// Change is a difference between two trees. Before or After is empty if the branch
// does not set the key in that tree.
type Change struct {
	Path   string `json:"path"`
	Key    string `json:"key"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// Diff returns the settings that differ between the trees, ordered by path. Inherited
// values are not compared, and branches without settings give no change.
func Diff(before, after *Tree) []Change {
	var changes []Change
	compare := func(path string) {
		oldBranch, _ := before.Branch(path)
		newBranch, _ := after.Branch(path)
		changes = append(changes, diffBranch(oldBranch, newBranch, path)...)
	}
	seen := map[string]bool{}
	for _, branch := range append(before.Branches(), after.Branches()...) {
		if seen[branch.Path] {
			continue
		}
		seen[branch.Path] = true
		compare(branch.Path)
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
