package replicahttp

import (
	"context"
	"io"
	"net/http"

	"github.com/thornwalk/thornwalk/protocol/errkind"
)

// QueryAnswer is a complete answer to a query.
type QueryAnswer struct {
	StatusCode int
	Header     http.Header
	Body       []byte
	// IsOpen is true if the connection can be used for further exchanges. Otherwise it is closed.
	IsOpen bool
}

// Query writes a request without an ID and reads its whole answer, of at most maxBody bytes. A body without framing ends with
// its connection, also if the replica ends then, so its content must show whether it is whole, as a JSON object does. The
// connection stays with the caller. After an error, of kind OutcomeUnknown, it is reset. The end of the context resets it too.
func (p *Pool) Query(ctx context.Context, conn *Conn, request *Request, maxBody int64) (*QueryAnswer, error) {
	stopCancel := context.AfterFunc(ctx, conn.abort)
	answer, err := conn.query(request, maxBody)
	if !stopCancel() && err == nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		conn.abort()
		return nil, errkind.Wrap(errkind.OutcomeUnknown, err)
	}
	if !answer.IsOpen {
		_ = conn.Close()
	}
	return answer, nil
}

func (c *Conn) query(request *Request, maxBody int64) (*QueryAnswer, error) {
	c.Reused = true // a surplus answer to the query may come before that to the next request
	if _, err := c.Write(request.head()); err != nil {
		return nil, err
	}
	c.reader.Begin(request.HeadLimits.WithDefaults())
	for range maxAnswerHeads {
		response, err := c.reader.ReadResponse(&http.Request{Method: request.Method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode < http.StatusOK {
			continue
		}
		if response.Header.Get(request.IDHeader) != "" {
			return nil, ErrOnlyStrayAnswers // late, to an earlier request
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, maxBody+1))
		if err != nil {
			return nil, err
		}
		if int64(len(body)) > maxBody {
			return nil, errkind.New(errkind.TooLarge, "read answer: body longer than %d bytes", maxBody)
		}
		return &QueryAnswer{StatusCode: response.StatusCode, Header: response.Header, Body: body, IsOpen: !response.Close && c.reader.Buffered() == 0}, nil
	}
	return nil, ErrOnlyStrayAnswers
}
