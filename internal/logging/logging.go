// Package logging configures the output of klog. Both functions replace the process-wide logger.
package logging

import (
	"io"
	"log/slog"

	"k8s.io/klog/v2"
)

// ToJSON makes klog write JSON to the writer, one line per message. Verbosity 0 logs decisions and
// changes, 1 also transient faults, 2 also every failed call of a peer.
func ToJSON(writer io.Writer, verbosity int) error {
	level := slog.Level(-verbosity)
	klog.SetSlogLogger(slog.New(slog.NewJSONHandler(writer, &slog.HandlerOptions{Level: level})))
	var flags klog.Level
	return flags.Set(levelText(verbosity))
}

// Discard drops all klog output.
func Discard() { klog.SetSlogLogger(slog.New(slog.DiscardHandler)) }

// levelText returns the verbosity as a digit, clamped to 0 and 9.
func levelText(verbosity int) string {
	const digits = "0123456789"
	return string(digits[max(0, min(verbosity, len(digits)-1))])
}
