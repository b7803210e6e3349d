// Package ctl implements kingcupreelctl, the operators' command-line tool.
package ctl

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
)

const (
	// requestTimeout bounds a request to an entry.
	requestTimeout = 30 * time.Second
	// maxResponseBytes bounds the body of an entry's response.
	maxResponseBytes = 256 << 20
)

// Client calls an entry's operator interface.
type Client struct {
	// BaseURL is the URL of the operator interface, without a path.
	BaseURL string
	// Token is the operator's bearer token.
	Token string
}

// Status returns the entry's own status.
func (c *Client) Status(ctx context.Context) (opapi.Status, error) {
	var s opapi.Status
	return s, c.do(ctx, http.MethodGet, opapi.PathStatus, nil, &s)
}

// Deployment returns the state of every process. Unless below is 0, it leaves
// out the processes whose revision is at least below.
func (c *Client) Deployment(ctx context.Context, below int64) (opapi.Deployment, error) {
	var d opapi.Deployment
	path := opapi.PathDeployment + "?below=" + strconv.FormatInt(below, 10)
	return d, c.do(ctx, http.MethodGet, path, nil, &d)
}

// Timeline returns the merged events of all processes.
func (c *Client) Timeline(ctx context.Context) (opapi.Timeline, error) {
	var t opapi.Timeline
	return t, c.do(ctx, http.MethodGet, opapi.PathEvents, nil, &t)
}

// Config returns the configuration in force at the entry.
func (c *Client) Config(ctx context.Context) (opapi.ConfigList, error) {
	var l opapi.ConfigList
	return l, c.do(ctx, http.MethodGet, opapi.PathConfig, nil, &l)
}

// Record returns one record as the key-value service stores it. If there is
// none, the error has the kind NotFound.
func (c *Client) Record(ctx context.Context, key config.Key) (opapi.ConfigRecord, error) {
	var r opapi.ConfigRecord
	return r, c.do(ctx, http.MethodGet, configPath(key), nil, &r)
}

// Put writes a record if the stored one has the revision expect.
func (c *Client) Put(ctx context.Context, key config.Key, record []byte, expect int64) (opapi.WriteResponse, error) {
	var w opapi.WriteResponse
	return w, c.do(ctx, http.MethodPut, configPath(key)+expectQuery(expect), record, &w)
}

// Delete removes a record if the stored one has the revision expect.
func (c *Client) Delete(ctx context.Context, key config.Key, expect int64) (opapi.WriteResponse, error) {
	var w opapi.WriteResponse
	return w, c.do(ctx, http.MethodDelete, configPath(key)+expectQuery(expect), nil, &w)
}

// Adopt puts the records of a restored key-value service into force.
func (c *Client) Adopt(ctx context.Context) (opapi.WriteResponse, error) {
	var w opapi.WriteResponse
	return w, c.do(ctx, http.MethodPost, opapi.PathAdopt, nil, &w)
}

// Plan returns the state of the expert plans as the entry encodes it.
func (c *Client) Plan(ctx context.Context) (json.RawMessage, error) {
	var p json.RawMessage
	return p, c.do(ctx, http.MethodGet, opapi.PathPlan, nil, &p)
}

func configPath(key config.Key) string {
	return opapi.PathConfig + "/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
}

func expectQuery(expect int64) string { return "?expect=" + strconv.FormatInt(expect, 10) }

// do sends a request to the entry and decodes the response into out.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	if c.BaseURL == "" {
		return fault.New(fault.Invalid, "give --entry or KINGCUPREEL_ENTRY, such as http://10.0.0.5:8081", "no entry is given")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var in io.Reader = http.NoBody
	if body != nil {
		in = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.BaseURL+path, in)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "give --entry as a URL", "building the request")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "check --entry, or use another entry", "calling the entry")
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "try again", "reading the entry's answer")
	}
	if resp.StatusCode != http.StatusOK {
		return responseError(resp.StatusCode, respBody)
	}
	if err := json.Unmarshal(respBody, out); err != nil {
		return fault.Wrap(fault.Unavailable, err, "check that --entry is an entry's operator address", "decoding the entry's answer")
	}
	return nil
}

// responseError returns the error in the body of a failed request, or one that
// quotes the body if it holds no error of the operator interface.
func responseError(status int, respBody []byte) error {
	var body struct {
		Error *fault.Error `json:"error"`
	}
	if json.Unmarshal(respBody, &body) == nil && body.Error != nil {
		return body.Error
	}
	kind := fault.Unavailable
	if status == http.StatusNotFound {
		kind = fault.NotFound
	}
	return fault.New(kind, "check --entry", "the entry answered %d: %.200s", status, respBody)
}
