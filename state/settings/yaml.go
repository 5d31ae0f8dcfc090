package settings

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/goccy/go-yaml"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// yamlFile is the YAML form of a tree, which maps paths to settings.
type yamlFile struct {
	Branches yaml.MapSlice `yaml:"branches"`
}

// ParseYAML decodes a tree without validating it; see Tree.Compile. The error is of
// kind InvalidSettings and names the line or the path and value.
func ParseYAML(text []byte) (*Tree, error) {
	var content yamlFile
	decoder := yaml.NewDecoder(bytes.NewReader(text), yaml.Strict())
	if err := decoder.Decode(&content); err != nil && !errors.Is(err, io.EOF) {
		return nil, errkind.New(errkind.InvalidSettings, "%s", yaml.FormatError(err, false, false))
	}
	var branches []Branch
	seen := map[string]bool{}
	for _, item := range content.Branches {
		path, isText := item.Key.(string)
		if !isText {
			return nil, errkind.New(errkind.InvalidSettings, "branches: %v is not a path: write it as text", item.Key)
		}
		branch, err := branchFromYAML(cleanPath(path), item.Value)
		if err != nil {
			return nil, err
		}
		if seen[branch.Path] {
			return nil, errkind.New(errkind.InvalidSettings, "/%s: defined twice: merge the two definitions", branch.Path)
		}
		seen[branch.Path] = true
		branches = append(branches, branch)
	}
	return NewTree(branches...), nil
}

// branchFromYAML returns the branch at the path. The value is nil or a mapping of keys
// to scalars or lists.
func branchFromYAML(path string, value any) (Branch, error) {
	branch := Branch{Path: path}
	var settings yaml.MapSlice
	switch typed := value.(type) {
	case nil:
	case yaml.MapSlice:
		settings = typed
	case map[string]any:
		settings = mapItems(typed)
	default:
		return branch, errkind.New(errkind.InvalidSettings, "/%s: %v is not a mapping: write key: value lines below the path", path, value)
	}
	for _, item := range settings {
		text, err := valueText(item.Value)
		if err != nil {
			return branch, errkind.New(errkind.InvalidSettings, "/%s %v: %v", path, item.Key, err)
		}
		branch.Settings = append(branch.Settings, Setting{Key: fmt.Sprint(item.Key), Text: text})
	}
	return branch, nil
}

func mapItems(values map[string]any) yaml.MapSlice {
	var items yaml.MapSlice
	for key, value := range values {
		items = append(items, yaml.MapItem{Key: key, Value: value})
	}
	return items
}

// valueText returns the text of a scalar, or of a list as its elements separated by
// commas.
func valueText(value any) (string, error) {
	switch typed := value.(type) {
	case nil:
		return "", nil
	case string:
		return typed, nil
	case []any:
		text := ""
		for i, element := range typed {
			if i > 0 {
				text += ","
			}
			text += fmt.Sprint(element)
		}
		return text, nil
	case map[string]any, yaml.MapSlice:
		return "", errors.New("value is a mapping: a nested branch needs a path of its own under branches")
	}
	return fmt.Sprint(value), nil
}

// FormatYAML encodes the tree in the form that ParseYAML decodes.
func FormatYAML(tree *Tree) ([]byte, error) {
	var content yamlFile
	for _, branch := range tree.branches {
		settings := yaml.MapSlice{}
		for _, setting := range branch.Settings {
			settings = append(settings, yaml.MapItem{Key: setting.Key, Value: setting.Text})
		}
		content.Branches = append(content.Branches, yaml.MapItem{Key: "/" + branch.Path, Value: settings})
	}
	return yaml.Marshal(content)
}
