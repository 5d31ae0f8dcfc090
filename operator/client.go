// Package operator is the client of a node's operator API, for the command line and for programs. It
// doesn't retry.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/thornwalk/thornwalk/coordination/settingsync"
	"github.com/thornwalk/thornwalk/entry"
	"github.com/thornwalk/thornwalk/internal/jsonstream"
	"github.com/thornwalk/thornwalk/node"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/protocol/openai"
	"github.com/thornwalk/thornwalk/state/settings"
	"github.com/thornwalk/thornwalk/transport/httphead"
)

// callTimeout bounds a call; a change of the settings may take most of it.
const callTimeout = 15 * time.Second

// Client calls one node. It is safe for concurrent use. Errors of the node are of type *Error if
// their kind is known; PeerUnavailable means that the node can't be reached.
type Client struct {
	address string
	token   string
	http    *http.Client
}

// New returns a client of the node whose operator API is at the address.
func New(address, token string) *Client {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxResponseHeaderBytes = maxHeadBytes
	return &Client{address: address, token: token, http: &http.Client{Timeout: callTimeout, Transport: httphead.Transport{RoundTripper: transport}}}
}

// Status returns the node's state.
func (c *Client) Status(ctx context.Context) (node.Status, error) {
	return get[node.Status](ctx, c, node.PathOperatorStatus)
}

// EntryStatus returns the state of an entry daemon. Its status needs no token.
func (c *Client) EntryStatus(ctx context.Context) (*entry.Status, error) {
	return get[*entry.Status](ctx, c, entry.PathStatus)
}

// Tenants returns what the tenants of each service get, from an entry daemon. It needs no token.
func (c *Client) Tenants(ctx context.Context) (*entry.TenantTable, error) {
	return get[*entry.TenantTable](ctx, c, entry.PathTenants)
}

// Rejections returns the remembered rejections of a request from an entry daemon. The request is named
// by its fingerprint or the caller's ID. The error matches ErrNoSuchPath if the node is no entry daemon.
func (c *Client) Rejections(ctx context.Context, request string) (*entry.Rejections, error) {
	return get[*entry.Rejections](ctx, c, entry.PathExplain+url.PathEscape(request))
}

// Unblock unblocks a poison request at an entry daemon, by its fingerprint.
func (c *Client) Unblock(ctx context.Context, fingerprint string) error {
	return c.do(ctx, http.MethodPost, entry.PathUnblock+url.PathEscape(fingerprint), nil, nil)
}

// Peers returns the nodes of the zone as the node sees them.
func (c *Client) Peers(ctx context.Context) ([]node.Peer, error) {
	return get[[]node.Peer](ctx, c, node.PathOperatorPeers)
}

// Backends returns the replicas as the node sees them.
func (c *Client) Backends(ctx context.Context) ([]node.Backend, error) {
	return get[[]node.Backend](ctx, c, node.PathOperatorBackends)
}

// Explain returns the node's decisions on the request.
func (c *Client) Explain(ctx context.Context, requestID string) ([]node.Decision, error) {
	return get[[]node.Decision](ctx, c, node.PathOperatorExplain+url.PathEscape(requestID))
}

// Settings returns the node's active settings, and the reply with their generation and the latest
// changes.
func (c *Client) Settings(ctx context.Context) (*settings.Tree, node.SettingsReply, error) {
	reply, err := get[node.SettingsReply](ctx, c, node.PathOperatorSettings)
	if err != nil {
		return nil, reply, err
	}
	return settings.NewTree(reply.Branches...), reply, nil
}

// Change submits a change of the settings and returns its record once it is accepted.
func (c *Client) Change(ctx context.Context, change settingsync.Change) (settingsync.ChangeRecord, error) {
	body, err := json.Marshal(change)
	if err != nil {
		return settingsync.ChangeRecord{}, err
	}
	var reply node.ChangeReply
	err = c.do(ctx, http.MethodPost, node.PathOperatorSettings, body, &reply)
	return reply.Record, err
}

// Spread returns, by zone, how far a generation of the settings has been disseminated, as known to
// the node.
func (c *Client) Spread(ctx context.Context, generation uint64) ([]node.ZoneSpread, error) {
	return get[[]node.ZoneSpread](ctx, c, fmt.Sprintf("%s?generation=%d", node.PathOperatorSpread, generation))
}

// Drain starts a planned stop of the node.
func (c *Client) Drain(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, node.PathOperatorDrain, nil, nil)
}

func get[Reply any](ctx context.Context, c *Client, path string) (Reply, error) {
	var reply Reply
	err := c.do(ctx, http.MethodGet, path, nil, &reply)
	return reply, err
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, reply any) error {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	request.GetBody = nil // prevents net/http from resending
	request.Header.Set("Authorization", "Bearer "+c.token)
	response, err := c.http.Do(request)
	if err != nil {
		return errkind.New(errkind.PeerUnavailable, "call node at %s: %v", c.address, err)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return remoteError(response)
	}
	if reply == nil {
		return nil
	}
	return jsonstream.NewDecoder(response.Body, maxReplyBytes).Decode(reply)
}

// ErrNoSuchPath is matched by errors of calls that the node's kind or version does not have.
var ErrNoSuchPath = errors.New("status 404 Not Found: the node's kind or version does not have this call")

const (
	// maxHeadBytes bounds the heads of a reply.
	maxHeadBytes = 64 << 10
	// maxReplyBytes bounds the body of a reply.
	maxReplyBytes = 256 << 20
	// maxErrorBytes bounds the body of an error that is read.
	maxErrorBytes = 1 << 20
	// routerNotFound is the text with which net/http answers paths without a handler.
	routerNotFound = "404 page not found"
)

func remoteError(response *http.Response) error {
	var body openai.ErrorBody
	content, err := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes))
	if err == nil {
		err = json.Unmarshal(content, &body)
	}
	if err != nil {
		if response.StatusCode == http.StatusNotFound && strings.TrimSpace(string(content)) == routerNotFound {
			return fmt.Errorf("call node: %w", ErrNoSuchPath)
		}
		return fmt.Errorf("call node: status %s", response.Status)
	}
	kind, known := errkind.ByCode(body.Error.Code)
	if !known {
		return fmt.Errorf("%s", body.Error.Message)
	}
	return &Error{Kind: kind, Message: body.Error.Message}
}

// Error is an error that the node returned. Its message names the remedy.
type Error struct {
	Kind    *errkind.Kind
	Message string
}

// Error implements error.
func (e *Error) Error() string { return e.Message }

// Unwrap returns the kind, for errors.Is.
func (e *Error) Unwrap() error { return e.Kind }
