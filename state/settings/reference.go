package settings

import (
	"fmt"
	"strings"
)

// Reference returns the content of docs/SETTINGS.md, the settings reference.
func Reference() string {
	var text strings.Builder
	text.WriteString("# Settings reference\n\nWritten by `go run ./cmd/thornwalk config reference`; do not edit.\n\n")
	text.WriteString("Every key may stand on any branch and is inherited by the branches below.\n\n")
	text.WriteString("| key | type | range | default | meaning |\n|---|---|---|---|---|\n")
	for _, spec := range Schema() {
		fmt.Fprintf(&text, "| `%s` | %s | %s | %s | %s |\n", spec.Key, spec.Type, spec.Range(), codeSpan(spec.Default), spec.Help)
	}
	return text.String()
}

// codeSpan returns text as Markdown code, or "" for empty text.
func codeSpan(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
