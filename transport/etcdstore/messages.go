package etcdstore

import "github.com/thornwalk/thornwalk/outside"

// The types in this file mirror the JSON form of the etcd API: keys and values are in base64, 64-bit
// numbers are strings.

// Header is part of every answer.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is a key with its value and the revision of its last change.
type KeyValue struct {
	Key         []byte `json:"key"`
	Value       []byte `json:"value"`
	ModRevision int64  `json:"mod_revision,string"`
}

func (kv KeyValue) value() outside.Value {
	return outside.Value{Data: kv.Value, Revision: kv.ModRevision}
}

// RangeRequest reads one key.
type RangeRequest struct {
	Key []byte `json:"key"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
}

// Compare is a condition of a transaction: the Target of the key has the relation Result to
// ModRevision.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// PutRequest writes a key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value"`
	Lease int64  `json:"lease,string,omitempty"`
}

// Operation is one operation of a transaction.
type Operation struct {
	Put *PutRequest `json:"request_put,omitempty"`
}

// TxnRequest applies the Success operations if all conditions are met.
type TxnRequest struct {
	Compare []Compare   `json:"compare"`
	Success []Operation `json:"success"`
}

// TxnResponse answers a TxnRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded"`
}

// LeaseRequest grants, renews or revokes a lease. TTL is in seconds.
type LeaseRequest struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// LeaseResponse answers a LeaseRequest. TTL is the remaining time in seconds; zero means expired.
type LeaseResponse struct {
	ID  int64 `json:"ID,string,omitempty"`
	TTL int64 `json:"TTL,string,omitempty"`
}

// KeepAliveResponse answers a renewal.
type KeepAliveResponse struct {
	Result LeaseResponse `json:"result"`
}

// WatchCreate starts a watch of a key from a revision on.
type WatchCreate struct {
	Key           []byte `json:"key"`
	StartRevision int64  `json:"start_revision,string"`
}

// WatchRequest is the first message of a watch.
type WatchRequest struct {
	Create WatchCreate `json:"create_request"`
}

// WatchEvent is one change of a key.
type WatchEvent struct {
	Type string   `json:"type,omitempty"`
	KV   KeyValue `json:"kv"`
}

// WatchResult is a batch of changes.
type WatchResult struct {
	Created bool         `json:"created,omitempty"`
	Events  []WatchEvent `json:"events,omitempty"`
}

// WatchResponse is one message of a watch.
type WatchResponse struct {
	Result WatchResult `json:"result"`
}
