// Package vmlist reads the VM list of a stand-alone deployment, which serves it
// beside its key-value service. On the users' platform processes register in the
// store instead.
package vmlist

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// vmCache holds the last VM list and its entity tag, so that an unchanged list
// isn't sent again. Its lock is a leaf lock; the zero value is empty.
type vmCache struct {
	mu   sync.Mutex
	etag string
	vms  []kvstore.VM
}

func (c *vmCache) get() (string, []kvstore.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, slices.Clone(c.vms)
}

func (c *vmCache) set(etag string, vms []kvstore.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.vms = etag, slices.Clone(vms)
}

// Path is the URL path of the list.
const Path = "/vms"

const (
	// maxBodyBytes limits the body of a response. It leaves room for a list of some
	// ten thousand VMs.
	maxBodyBytes = 16 << 20
	remedy       = "check the service of the VM list; the read is retried"
)

// Client implements kvstore.VMList over HTTP.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	vms     vmCache
}

// New returns a client for the list at the base URL, such as
// http://127.0.0.1:2000. Each read is limited to timeout.
func New(base string, timeout time.Duration) *Client {
	return &Client{base: base, http: &http.Client{}, timeout: timeout}
}

// VMs implements kvstore.VMList. If the server sent an entity tag with the last
// list, it sends the list again only when it has changed.
func (c *Client) VMs(ctx context.Context) ([]kvstore.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+Path, http.NoBody)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "check the address of the VM list", "building the request for %s", Path)
	}
	etag, cached := c.vms.get()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, remedy, "reading the VM list")
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return cached, nil
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBodyBytes))
	if err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, remedy, "reading the VM list")
	}
	if resp.StatusCode != http.StatusOK {
		return nil, fault.New(fault.Unavailable, remedy, "the service of the VM list answered with status %d: %.200s", resp.StatusCode, body)
	}
	var vms []kvstore.VM
	if err := json.Unmarshal(body, &vms); err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, remedy, "decoding the VM list from %s", Path)
	}
	c.vms.set(resp.Header.Get("ETag"), vms)
	return vms, nil
}
