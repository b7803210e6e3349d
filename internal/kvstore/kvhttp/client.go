// Package kvhttp is the adapter to the platform's HTTP interfaces: the
// key-value service and the VM list, JSON over HTTP.
package kvhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// Paths of the key-value service and the VM list.
const (
	PathGet       = "/kv/get"
	PathList      = "/kv/list"
	PathPut       = "/kv/put"
	PathDelete    = "/kv/delete"
	PathWatch     = "/kv/watch"
	PathGrant     = "/kv/lease/grant"
	PathKeepAlive = "/kv/lease/keepalive"
	PathRevoke    = "/kv/lease/revoke"
	PathVMs       = "/vms"
)

const (
	// DefaultTimeout bounds a call to the platform.
	DefaultTimeout = 2 * time.Second
	// maxAnswer bounds an answer of the platform, in bytes.
	maxAnswer = 64 << 20
	remedy    = "check the platform's service; the call is tried again"
)

// WriteAnswer is the answer to a write.
type WriteAnswer struct {
	Revision int64 `json:"revision"`
}

// LeaseAnswer is the answer to a grant.
type LeaseAnswer struct {
	Lease int64 `json:"lease"`
}

// DeleteCall is the body of a delete.
type DeleteCall struct {
	Key    string `json:"key"`
	Expect int64  `json:"expect"`
}

// GrantCall is the body of a grant.
type GrantCall struct {
	TTLMS int64 `json:"ttl_ms"`
}

// LeaseCall is the body of a keep-alive and of a revoke.
type LeaseCall struct {
	Lease int64 `json:"lease"`
}

// Client implements kvstore.KV and kvstore.VMList.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	vms     vmCache
}

// New returns a client for the service at base, such as http://127.0.0.1:2000.
func New(base string, timeout time.Duration) *Client {
	transport := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: timeout}).DialContext,
		MaxIdleConnsPerHost: 16,
		IdleConnTimeout:     30 * time.Second,
	}
	return &Client{base: base, http: &http.Client{Transport: transport}, timeout: timeout}
}

// call posts in as JSON and decodes the answer into out. A call that times out
// drops its connection, so that a silent one isn't used again.
func (c *Client) call(ctx context.Context, timeout time.Duration, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return fault.Wrap(fault.Internal, err, "report this", "encoding the call %s", path)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "check the platform's address", "building the call %s", path)
	}
	req.Header.Set("Content-Type", "application/json")
	return c.do(req, path, out)
}

func (c *Client) do(req *http.Request, path string, out any) error {
	resp, err := c.http.Do(req)
	if err != nil {
		return c.transportError(err, path)
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return c.transportError(err, path)
	}
	if resp.StatusCode != http.StatusOK {
		return statusError(resp.StatusCode, path, answer)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fault.Wrap(fault.Unavailable, err, remedy, "decoding the answer of %s", path)
	}
	return nil
}

// transportError names a failed call. After a timeout the idle connections are
// closed, since they may have gone silent with the one that timed out.
func (c *Client) transportError(err error, path string) error {
	var ne net.Error
	if errors.As(err, &ne) && ne.Timeout() {
		c.http.CloseIdleConnections()
		return fault.Wrap(fault.Timeout, err, remedy, "calling %s", path)
	}
	return fault.Wrap(fault.Unavailable, err, remedy, "calling %s", path)
}

var kindOf = map[int]fault.Kind{
	http.StatusNotFound:           fault.NotFound,
	http.StatusConflict:           fault.Conflict,
	http.StatusPreconditionFailed: fault.Conflict,
	http.StatusGone:               fault.Stale,
	http.StatusTooManyRequests:    fault.Overloaded,
	http.StatusBadRequest:         fault.Invalid,
}

func statusError(status int, path string, answer []byte) error {
	kind, ok := kindOf[status]
	if !ok {
		kind = fault.Unavailable
	}
	return fault.New(kind, remedy, "%s answered %d: %.200s", path, status, answer)
}

// Post sends a JSON body to a path and drops the answer.
func (c *Client) Post(ctx context.Context, path string, body any) error {
	return c.call(ctx, c.timeout, path, body, nil)
}

// Get implements kvstore.KV.
func (c *Client) Get(ctx context.Context, key string) (kvstore.Item, error) {
	var item kvstore.Item
	err := c.query(ctx, c.timeout, PathGet, url.Values{"key": {key}}, &item)
	return item, err
}

// List implements kvstore.KV.
func (c *Client) List(ctx context.Context, prefix string) (kvstore.Listing, error) {
	var l kvstore.Listing
	err := c.query(ctx, c.timeout, PathList, url.Values{"prefix": {prefix}}, &l)
	return l, err
}

func (c *Client) query(ctx context.Context, timeout time.Duration, path string, q url.Values, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+"?"+q.Encode(), http.NoBody)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "check the platform's address", "building the call %s", path)
	}
	return c.do(req, path, out)
}

// Put implements kvstore.KV.
func (c *Client) Put(ctx context.Context, p kvstore.Put) (int64, error) {
	var a WriteAnswer
	err := c.call(ctx, c.timeout, PathPut, p, &a)
	return a.Revision, err
}

// Delete implements kvstore.KV.
func (c *Client) Delete(ctx context.Context, key string, expect int64) (int64, error) {
	var a WriteAnswer
	err := c.call(ctx, c.timeout, PathDelete, DeleteCall{Key: key, Expect: expect}, &a)
	return a.Revision, err
}

// Watch implements kvstore.KV.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) (kvstore.Batch, error) {
	var b kvstore.Batch
	q := url.Values{
		"prefix":  {prefix},
		"after":   {strconv.FormatInt(after, 10)},
		"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	err := c.query(ctx, wait+c.timeout, PathWatch, q, &b)
	return b, err
}

// Grant implements kvstore.KV.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (int64, error) {
	var a LeaseAnswer
	err := c.call(ctx, c.timeout, PathGrant, GrantCall{TTLMS: ttl.Milliseconds()}, &a)
	return a.Lease, err
}

// KeepAlive implements kvstore.KV.
func (c *Client) KeepAlive(ctx context.Context, lease int64) error {
	return c.call(ctx, c.timeout, PathKeepAlive, LeaseCall{Lease: lease}, nil)
}

// Revoke implements kvstore.KV.
func (c *Client) Revoke(ctx context.Context, lease int64) error {
	return c.call(ctx, c.timeout, PathRevoke, LeaseCall{Lease: lease}, nil)
}
