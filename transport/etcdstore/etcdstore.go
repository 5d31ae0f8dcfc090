// Package etcdstore implements outside.Store over the JSON form of the etcd version 3 API: range,
// transactions that compare a key's modification revision, leases and watches. It retries nothing.
package etcdstore

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/thornwalk/thornwalk/internal/jsonstream"
	"github.com/thornwalk/thornwalk/outside"
	"github.com/thornwalk/thornwalk/protocol/errkind"
	"github.com/thornwalk/thornwalk/transport/network"
	"github.com/thornwalk/thornwalk/transport/oneshot"
)

// Paths of the API.
const (
	PathRange     = "/v3/kv/range"
	PathTxn       = "/v3/kv/txn"
	PathGrant     = "/v3/lease/grant"
	PathKeepAlive = "/v3/lease/keepalive"
	PathRevoke    = "/v3/lease/revoke"
	PathWatch     = "/v3/watch"
)

// maxAnswerBytes bounds an answer of the store, and each message of a watch; a value has at most a megabyte.
const maxAnswerBytes = 8 << 20

// Client implements outside.Store. It is safe for concurrent use.
type Client struct {
	sender   oneshot.Sender
	address  string
	timeout  time.Duration
	registry metrics.Registry
}

// New returns a client of the store at the address. The timeout applies to all calls except
// watches. The registry counts calls by path; it may be nil.
func New(network network.Network, address string, timeout time.Duration, registry metrics.Registry) *Client {
	return &Client{sender: oneshot.Sender{Network: network}, address: address, timeout: timeout, registry: registry}
}

// Get implements outside.Store.
func (c *Client) Get(ctx context.Context, key string) (outside.Value, error) {
	var answer RangeResponse
	if err := c.call(ctx, PathRange, RangeRequest{Key: []byte(key)}, &answer, errkind.StoreUnavailable); err != nil {
		return outside.Value{}, err
	}
	if len(answer.KVs) == 0 {
		return outside.Value{}, nil
	}
	return answer.KVs[0].value(), nil
}

// Swap implements outside.Store.
func (c *Client) Swap(ctx context.Context, key string, expected int64, data []byte, lease outside.LeaseID) (int64, error) {
	request := TxnRequest{
		Compare: []Compare{{Key: []byte(key), Target: "MOD", Result: "EQUAL", ModRevision: expected}},
		Success: []Operation{{Put: &PutRequest{Key: []byte(key), Value: data, Lease: int64(lease)}}},
	}
	var answer TxnResponse
	if err := c.call(ctx, PathTxn, request, &answer, errkind.StoreUnknown); err != nil {
		return 0, err
	}
	if !answer.Succeeded {
		return 0, errkind.New(errkind.Conflict, "write %s: the key is not at revision %d", key, expected)
	}
	return answer.Header.Revision, nil
}

// Watch implements outside.Store. If the key was deleted, it returns the zero value.
func (c *Client) Watch(ctx context.Context, key string, after int64) (outside.Value, error) {
	request := WatchRequest{Create: WatchCreate{Key: []byte(key), StartRevision: after + 1}}
	response, err := c.send(ctx, PathWatch, request, errkind.StoreUnavailable)
	if err != nil {
		return outside.Value{}, err
	}
	defer response.Body.Close()
	decoder := jsonstream.NewDecoder(response.Body, maxAnswerBytes)
	for {
		var message WatchResponse
		if err := decoder.Decode(&message); err != nil {
			return outside.Value{}, errkind.New(errkind.StoreUnavailable, "watch %s: %v", key, err)
		}
		for _, event := range message.Result.Events {
			if event.Type == "DELETE" {
				return outside.Value{}, nil
			}
			return event.KV.value(), nil
		}
	}
}

// Grant implements outside.Store.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (outside.LeaseID, error) {
	var answer LeaseResponse
	seconds := int64((ttl + time.Second - 1) / time.Second)
	if err := c.call(ctx, PathGrant, LeaseRequest{TTL: seconds}, &answer, errkind.StoreUnknown); err != nil {
		return 0, err
	}
	return outside.LeaseID(answer.ID), nil
}

// Renew implements outside.Store.
func (c *Client) Renew(ctx context.Context, lease outside.LeaseID) error {
	var answer KeepAliveResponse
	if err := c.call(ctx, PathKeepAlive, LeaseRequest{ID: int64(lease)}, &answer, errkind.StoreUnavailable); err != nil {
		return err
	}
	if answer.Result.TTL <= 0 {
		return errkind.New(errkind.StaleFence, "renew lease %d: it has expired", lease)
	}
	return nil
}

// Revoke implements outside.Store.
func (c *Client) Revoke(ctx context.Context, lease outside.LeaseID) error {
	var answer LeaseResponse
	return c.call(ctx, PathRevoke, LeaseRequest{ID: int64(lease)}, &answer, errkind.StoreUnknown)
}

// call sends one request and decodes its answer. failed is the kind of errors after the request was
// sent, when the store may have acted on it.
func (c *Client) call(ctx context.Context, path string, request, answer any, failed *errkind.Kind) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	response, err := c.send(ctx, path, request, failed)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if err := json.NewDecoder(io.LimitReader(response.Body, maxAnswerBytes)).Decode(answer); err != nil {
		return errkind.New(failed, "call %s: %v", path, err)
	}
	return nil
}

// send returns the response if its status is 200. Errors are those of call.
func (c *Client) send(ctx context.Context, path string, request any, failed *errkind.Kind) (*http.Response, error) {
	if c.registry != nil {
		metrics.GetOrRegisterCounter("store.calls."+path, c.registry).Inc(1)
	}
	content, err := json.Marshal(request)
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err)
	}
	httpRequest, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(content))
	if err != nil {
		return nil, errkind.Wrap(errkind.BadRequest, err)
	}
	httpRequest.Header.Set("Content-Type", "application/json")
	response, err := c.sender.Send(ctx, c.address, httpRequest)
	if errors.Is(err, oneshot.ErrNotSent) {
		return nil, errkind.Wrap(errkind.StoreUnavailable, err)
	}
	if err != nil {
		return nil, errkind.New(failed, "call %s: %v", path, err)
	}
	if response.StatusCode == http.StatusOK {
		return response, nil
	}
	_ = response.Body.Close()
	if response.StatusCode == http.StatusTooManyRequests {
		failed = errkind.StoreUnavailable // rejected before it had any effect
	}
	return nil, errkind.New(failed, "call %s: status %s", path, strconv.Itoa(response.StatusCode))
}
