// Package vmlist reads the VM list of a stand-alone deployment, which serves it
// beside its key-value service. On the users' platform processes register in the
// store instead.
package vmlist

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/httphead"
	"github.com/kingcupreel/kingcupreel/internal/kvstore"
	"github.com/kingcupreel/kingcupreel/internal/socket"
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
	log     *zap.Logger
}

// New returns a client for the list at the base URL, such as
// http://127.0.0.1:2000. Each read is limited to timeout.
func New(base string, timeout time.Duration, log *zap.Logger) *Client {
	return &Client{base: base, http: &http.Client{Transport: httphead.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}, timeout: timeout, log: log}
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
	vms, err := c.decode(body)
	if err != nil {
		return nil, err
	}
	c.vms.set(resp.Header.Get("ETag"), vms)
	return vms, nil
}

// decode decodes a list. An entry that can't be decoded, has no id or has an address that
// can't be dialled is left out: one odd entry must not hide the others.
func (c *Client) decode(body []byte) ([]kvstore.VM, error) {
	entries, ok := splitArray(body)
	if !ok {
		return nil, fault.New(fault.Unavailable, remedy, "the VM list from %s is no JSON array", Path)
	}
	vms := make([]kvstore.VM, 0, len(entries))
	for i, entry := range entries {
		var vm kvstore.VM
		err := json.Unmarshal(entry, &vm)
		if err != nil || vm.ID == "" || vm.Address != "" && !socket.ValidAddress(vm.Address) {
			c.log.Warn("entry of the VM list ignored", zap.Int("index", i), zap.String("id", fmt.Sprintf("%.64s", vm.ID)), zap.String("address", fmt.Sprintf("%.64s", vm.Address)), zap.String("error", fmt.Sprintf("%.120v", err)))
			continue
		}
		vms = append(vms, vm)
	}
	return vms, nil
}

// splitArray returns the elements of a JSON array without decoding them, so that an element
// that can't be decoded, or is nested too deeply for that, leaves the others intact.
func splitArray(body []byte) ([]json.RawMessage, bool) {
	body = bytes.TrimSpace(body)
	if len(body) < 2 || body[0] != '[' || body[len(body)-1] != ']' {
		return nil, false
	}
	body = body[1 : len(body)-1]
	var elements []json.RawMessage
	depth, start, inString, escaped := 0, 0, false, false
	for i, b := range body {
		switch {
		case escaped:
			escaped = false
		case inString:
			escaped, inString = b == '\\', b != '"'
		case b == '"':
			inString = true
		case b == '[', b == '{':
			depth++
		case b == ']', b == '}':
			depth--
		case b == ',' && depth == 0:
			elements = append(elements, body[start:i])
			start = i + 1
		}
	}
	if last := body[start:]; len(elements) > 0 || len(bytes.TrimSpace(last)) > 0 {
		elements = append(elements, last)
	}
	return elements, depth == 0 && !inString
}
