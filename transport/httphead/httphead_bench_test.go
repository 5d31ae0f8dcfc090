package httphead

import (
	"bufio"
	"net/http"
	"strings"
	"testing"
	"time"
)

const usualHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: 9c41d07be2a35f68\r\nX-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 3\r\nDate: Fri, 04 Dec 2026 14:00:00 GMT\r\nConnection: close\r\n\r\n"

// BenchmarkHead compares a head that is read within limits with one that is read by the standard library.
func BenchmarkHead(b *testing.B) {
	request := &http.Request{Method: http.MethodGet}
	b.Run("limited", func(b *testing.B) {
		content := strings.NewReader(usualHead)
		reader := NewReader(&scriptedConn{content: content, partBytes: bufferBytes}, bufferBytes)
		b.ReportAllocs()
		for b.Loop() {
			content.Reset(usualHead)
			reader.Begin(Limits{Bytes: 16 << 10, Lines: 128, Duration: time.Second})
			if _, err := reader.ReadResponse(request); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("standard", func(b *testing.B) {
		content := strings.NewReader(usualHead)
		reader := bufio.NewReaderSize(&scriptedConn{content: content, partBytes: bufferBytes}, bufferBytes)
		b.ReportAllocs()
		for b.Loop() {
			content.Reset(usualHead)
			if _, err := http.ReadResponse(reader, request); err != nil {
				b.Fatal(err)
			}
		}
	})
}
