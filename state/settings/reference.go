package settings

import (
	"fmt"
	"strings"
)

// Reference returns the settings reference, docs/SETTINGS.md, as Markdown.
func Reference() string {
	var text strings.Builder
	text.WriteString("# Settings reference\n\nWritten by `go run ./cmd/thornwalk config reference`; do not edit.\n\n")
	text.WriteString("Every key may stand on any branch and is inherited by the branches below.\n\n")
	text.WriteString("| key | type | range | default | meaning |\n|---|---|---|---|---|\n")
	for _, spec := range Schema() {
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s | %s |\n", spec.Key, spec.Type, spec.Range(), quoted(spec.Default), spec.Help)
	}
	return text.String()
}

func quoted(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
