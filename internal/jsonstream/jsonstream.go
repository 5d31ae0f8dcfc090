// Package jsonstream decodes a stream of JSON values of which each has a maximum length. A json.Decoder alone holds a
// value without end until the process is over its memory limit.
package jsonstream

import (
	"encoding/json"
	"fmt"
	"io"
)

// Decoder decodes values. It is not safe for concurrent use.
type Decoder struct {
	limited  *io.LimitedReader
	decoder  *json.Decoder
	maxBytes int64
}

// TooLongError means that a value is longer than MaxBytes. The stream can't be read further.
type TooLongError struct{ MaxBytes int64 }

func (e *TooLongError) Error() string {
	return fmt.Sprintf("decode JSON: a value is longer than %d bytes", e.MaxBytes)
}

// NewDecoder returns a decoder of values of at most maxBytes, give or take what is read ahead.
func NewDecoder(reader io.Reader, maxBytes int64) *Decoder {
	limited := &io.LimitedReader{R: reader}
	return &Decoder{limited: limited, decoder: json.NewDecoder(limited), maxBytes: maxBytes}
}

// Decode decodes the next value. The error is a *TooLongError or that of json.Decoder.
func (d *Decoder) Decode(value any) error {
	d.limited.N = d.maxBytes
	err := d.decoder.Decode(value)
	if err != nil && d.limited.N <= 0 {
		return &TooLongError{MaxBytes: d.maxBytes}
	}
	return err
}
