// Package logging makes klog write JSON lines.
package logging

import (
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// ToJSON sends everything that is logged to the writer as JSON, one line each.
// Verbosity 0 logs decisions and changes, 1 also passing faults, 2 every failed
// call of a peer.
func ToJSON(writer io.Writer, verbosity int) error {
	level := slog.Level(-verbosity)
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level})))
	var flags klog.Level
	return flags.Set(levelText(verbosity))
}

// Discard drops everything that is logged.
func Discard() { klog.SetSlogLogger(slog.New(slog.DiscardHandler)) }

func levelText(verbosity int) string {
	const digits = "0123456789"
	return string(digits[max(0, min(verbosity, len(digits)-1))])
}
