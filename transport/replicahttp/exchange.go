package replicahttp

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// Request is what is written to a replica.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// HasBody is true if a length must be named even for an empty body.
	HasBody bool
	// IDHeader and ID let answers to other requests be told apart.
	IDHeader string
	ID       string
	// HeadTimeout bounds the wait for the head of the answer; zero means that
	// only the context does.
	HeadTimeout time.Duration
}

// Answer is the head of a replica's answer with its body still to be read.
type Answer struct {
	*http.Response
	conn    *Conn
	pool    *Pool
	written chan error
	stop    func() bool
	whole   bool
}

// maximumStray bounds the answers to other requests that are skipped.
const maximumStray = 3

// maximumStrayBody bounds the bytes of such an answer.
const maximumStrayBody = 1 << 20

// Exchange writes the request and reads the head of its answer. After an error
// the request may have run. The end of the context breaks the connection.
func (p *Pool) Exchange(ctx context.Context, conn *Conn, request *Request) (*Answer, error) {
	answer := &Answer{conn: conn, pool: p, written: make(chan error, 1)}
	answer.stop = context.AfterFunc(ctx, func() { _ = conn.Close() })
	head := request.head()
	if len(request.Body) == 0 {
		_, err := conn.Write(head)
		answer.written <- err
	} else {
		// The answer may come before the body was read, so both go on at once.
		go func() {
			_, err := conn.Write(append(head, request.Body...))
			answer.written <- err
		}()
	}
	if request.HeadTimeout > 0 {
		_ = conn.SetReadDeadline(time.Now().Add(request.HeadTimeout))
	}
	response, err := conn.readAnswer(request)
	if err != nil {
		answer.Abandon()
		return nil, errkind.Wrap(errkind.OutcomeUnknown, err)
	}
	answer.Response = response
	response.Body = &bodyReader{body: response.Body, answer: answer}
	return answer, nil
}

var errStray = errors.New("the connection holds answers to other requests only")

// readAnswer reads heads until one names the request.
func (c *Conn) readAnswer(request *Request) (*http.Response, error) {
	for range maximumStray {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		echoed := response.Header.Get(request.IDHeader)
		if echoed == "" || echoed == request.ID {
			return response, nil
		}
		skipped, err := io.Copy(io.Discard, io.LimitReader(response.Body, maximumStrayBody))
		if err != nil {
			return nil, err
		}
		if skipped == maximumStrayBody || response.Close {
			break
		}
	}
	return nil, errStray
}

func (r *Request) head() []byte {
	var head bytes.Buffer
	head.Grow(1024)
	head.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")
	_ = r.Header.Write(&head)
	if r.HasBody || len(r.Body) > 0 {
		head.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	return head.Bytes()
}

// bodyReader notes whether the body was read to its end.
type bodyReader struct {
	body   io.ReadCloser
	answer *Answer
}

func (b *bodyReader) Read(into []byte) (int, error) {
	count, err := b.body.Read(into)
	if err == io.EOF {
		b.answer.whole = true
	}
	return count, err
}

func (b *bodyReader) Close() error { return nil }

// Done ends the exchange: the connection is kept if the answer was whole and
// nothing else is on it, and closed otherwise.
func (a *Answer) Done() {
	if !a.stop() || !a.reusable() {
		_ = a.conn.Close()
		return
	}
	_ = a.conn.SetDeadline(time.Time{})
	a.pool.keep(a.conn, a.Header.Get("Keep-Alive"))
}

func (a *Answer) reusable() bool {
	if !a.whole || a.Close || a.conn.reader.Buffered() > 0 {
		return false
	}
	// The writer of a body that was read to its end is about to say so.
	timer := time.NewTimer(writerPatience)
	defer timer.Stop()
	select {
	case err := <-a.written:
		return err == nil
	case <-timer.C:
		return false
	}
}

// writerPatience is how long the end of an exchange waits for its writer; one
// that takes longer is held up by a body that the replica does not read.
const writerPatience = 20 * time.Millisecond

// Abandon breaks the connection, by which the replica learns that nobody waits.
func (a *Answer) Abandon() {
	a.stop()
	_ = a.conn.Close()
}

// SetReadDeadline bounds the wait for the next bytes; the zero time unbounds it.
func (a *Answer) SetReadDeadline(at time.Time) { _ = a.conn.SetReadDeadline(at) }

// Ended returns whether the error of a read of the body is its proper end.
func (a *Answer) Ended(err error) bool { return err == io.EOF && a.whole }
