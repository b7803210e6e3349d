package kvhttp

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
)

// vmCache is the last VM list and its entity tag, so that an unchanged list
// isn't sent again. Its lock is a leaf; the zero value is empty.
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

// VMs implements kvstore.VMList. A platform that gives entity tags sends the
// list only when it has changed.
func (c *Client) VMs(ctx context.Context) ([]kvstore.VM, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+PathVMs, http.NoBody)
	if err != nil {
		return nil, fault.Wrap(fault.Invalid, err, "check the platform's address", "building the call %s", PathVMs)
	}
	etag, known := c.vms.get()
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return nil, c.transportError(err, PathVMs)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified && etag != "" {
		return known, nil
	}
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return nil, c.transportError(err, PathVMs)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, statusError(resp.StatusCode, PathVMs, answer)
	}
	var vms []kvstore.VM
	if err := json.Unmarshal(answer, &vms); err != nil {
		return nil, fault.Wrap(fault.Unavailable, err, remedy, "decoding the answer of %s", PathVMs)
	}
	c.vms.set(resp.Header.Get("ETag"), vms)
	return vms, nil
}
