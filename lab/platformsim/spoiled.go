package platformsim

import (
	"context"
	"io"
	"net"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/transport/network"
)

// SpoiledForm is a form of bytes that are no answer to the request, with behavior Spoil.
type SpoiledForm string

// Spoiled forms. All up to SpoiledEventLines have no end; a trickling one sends a byte every trickleInterval.
const (
	SpoiledFirstLine      SpoiledForm = "first line"
	SpoiledHeaderLine     SpoiledForm = "header line"
	SpoiledHeaderLines    SpoiledForm = "header lines"
	SpoiledInterimHead    SpoiledForm = "interim head"
	SpoiledInterimHeads   SpoiledForm = "interim heads"
	SpoiledTricklingHead  SpoiledForm = "trickling head"
	SpoiledOtherAnswers   SpoiledForm = "other answers"
	SpoiledBody           SpoiledForm = "body"
	SpoiledErrorBody      SpoiledForm = "error body"
	SpoiledChunkSize      SpoiledForm = "chunk size"
	SpoiledChunkExtension SpoiledForm = "chunk extension"
	SpoiledTrailer        SpoiledForm = "trailer"
	SpoiledEvent          SpoiledForm = "event"
	SpoiledEventLines     SpoiledForm = "event lines"
	SpoiledEventID        SpoiledForm = "event ID"
	SpoiledNonsense       SpoiledForm = "nonsense"
	SpoiledEncoding       SpoiledForm = "encoding"
	SpoiledStatus         SpoiledForm = "status"
	SpoiledName           SpoiledForm = "name"
	SpoiledLengthName     SpoiledForm = "name of the length"
	SpoiledTrailerName    SpoiledForm = "name in the trailer"
	// SpoiledReset is a part of an answer without framing whose connection is reset.
	SpoiledReset SpoiledForm = "reset"
)

// SpoiledForms are all forms.
var SpoiledForms = []SpoiledForm{
	SpoiledFirstLine, SpoiledHeaderLine, SpoiledHeaderLines, SpoiledInterimHead, SpoiledInterimHeads, SpoiledTricklingHead,
	SpoiledOtherAnswers, SpoiledBody, SpoiledErrorBody, SpoiledChunkSize, SpoiledChunkExtension, SpoiledTrailer, SpoiledEvent,
	SpoiledEventLines, SpoiledEventID, SpoiledNonsense, SpoiledEncoding, SpoiledStatus, SpoiledName, SpoiledLengthName,
	SpoiledTrailerName, SpoiledReset,
}

// Rate and amount of bytes without end.
const (
	spoiledBytesPerSecond = 50 << 20
	spoiledBlockBytes     = 256 << 10
	maxSpoiledBytes       = 128 << 20
	trickleInterval       = 100 * time.Millisecond
)

// spoiledBytes are the bytes of a form: the start, and then the part over and over.
type spoiledBytes struct {
	start, part string
	isTrickling bool
	isReset     bool
}

// bytesOf returns the bytes of the form. head returns the head of a signed answer up to its last line.
func bytesOf(form SpoiledForm, head func(status, contentType string) string) spoiledBytes {
	const chunked, stream = "Transfer-Encoding: chunked\r\n\r\n", "text/event-stream"
	switch form {
	case SpoiledHeaderLine:
		return spoiledBytes{start: head("200 OK", "") + "A: ", part: "x"}
	case SpoiledHeaderLines:
		return spoiledBytes{start: head("200 OK", ""), part: "A: b\r\n"}
	case SpoiledInterimHead:
		return spoiledBytes{start: "HTTP/1.1 103 Early Hints\r\n", part: "A: b\r\n"}
	case SpoiledInterimHeads:
		return spoiledBytes{part: "HTTP/1.1 103 Early Hints\r\n\r\n"}
	case SpoiledTricklingHead:
		return spoiledBytes{start: head("200 OK", "") + "A: ", part: "x", isTrickling: true}
	case SpoiledOtherAnswers:
		return spoiledBytes{part: "HTTP/1.1 200 OK\r\nX-Attempt-Id: other\r\nContent-Length: 1\r\n\r\nx"}
	case SpoiledBody:
		return spoiledBytes{start: head("200 OK", "") + "Connection: close\r\n\r\n", part: "x"}
	case SpoiledErrorBody:
		return spoiledBytes{start: head("500 Failed", "") + "Connection: close\r\n\r\n", part: "x"}
	case SpoiledChunkSize:
		return spoiledBytes{start: head("200 OK", "") + chunked, part: "0"}
	case SpoiledChunkExtension:
		return spoiledBytes{start: head("200 OK", "") + chunked + "1;", part: "a"}
	case SpoiledTrailer:
		return spoiledBytes{start: head("200 OK", "") + chunked + "0\r\n", part: "A: b\r\n"}
	case SpoiledEvent:
		return spoiledBytes{start: head("200 OK", stream) + "\r\n", part: "x"}
	case SpoiledEventLines:
		return spoiledBytes{start: head("200 OK", stream) + "\r\n", part: "data: x\n"}
	case SpoiledEventID:
		return spoiledBytes{start: head("200 OK", stream) + "\r\nid: " + strings.Repeat("1", 4096) + "\n\n"}
	case SpoiledNonsense:
		return spoiledBytes{start: "nonsense\r\n\r\n"}
	case SpoiledEncoding:
		return spoiledBytes{start: head("200 OK", "") + "Content-Encoding: gzip\r\nContent-Length: 6\r\n\r\npacked"}
	case SpoiledStatus:
		return spoiledBytes{start: head("000 Odd", "") + "\r\n" + head("200 OK", "") + "Content-Length: 3\r\n\r\nbad"}
	case SpoiledName:
		return spoiledBytes{start: head("200 OK", "") + "Odd Name: x\r\nContent-Length: 3\r\n\r\nbad"}
	case SpoiledLengthName:
		return spoiledBytes{start: head("200 OK", "") + "Connection: close\r\nContent-Length : 3\r\n\r\nbad"}
	case SpoiledTrailerName:
		return spoiledBytes{start: head("200 OK", "") + chunked + "3\r\nbad\r\n0\r\nOdd Name: x\r\n\r\n"}
	case SpoiledReset:
		return spoiledBytes{start: head("200 OK", "") + "Connection: close\r\n\r\nbad", isReset: true}
	default:
		return spoiledBytes{part: "x"}
	}
}

// SetSpoiledForm sets the form of answers with behavior Spoil.
func (r *Replica) SetSpoiledForm(form SpoiledForm) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.spoiledForm = form
}

// writeSpoiled writes a spoiled answer until the node closes the connection.
func (r *Replica) writeSpoiled(ctx context.Context, conn net.Conn, id string, run *Run) {
	r.mutex.Lock()
	form := r.spoiledForm
	run.Spoiled = true
	r.mutex.Unlock()
	content := bytesOf(form, func(status, contentType string) string { return r.responseHead(status, id, contentType, run) })
	if !writeText(conn, content.start) {
		return
	}
	if content.isReset {
		network.ResetOnClose(conn) // serveConn closes it
		return
	}
	if content.part == "" {
		<-ctx.Done()
		return
	}
	block, interval := strings.Repeat(content.part, spoiledBlockBytes/len(content.part)), time.Second*spoiledBlockBytes/spoiledBytesPerSecond
	if content.isTrickling {
		block, interval = content.part, trickleInterval
	}
	for sent := 0; sent < maxSpoiledBytes; sent += len(block) {
		if _, err := io.WriteString(conn, block); err != nil || !sleep(ctx, interval) {
			return
		}
	}
}
