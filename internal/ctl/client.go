// Package ctl is the operators' command-line tool.
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
	// callTimeout bounds a call to an entry.
	callTimeout = 30 * time.Second
	// maxAnswer bounds an entry's answer, in bytes.
	maxAnswer = 256 << 20
)

// Client calls an entry's operator interface.
type Client struct {
	Base  string
	Token string
}

// Status returns the entry's own status.
func (c *Client) Status(ctx context.Context) (opapi.Status, error) {
	var s opapi.Status
	return s, c.do(ctx, http.MethodGet, opapi.PathStatus, nil, &s)
}

// Deployment returns the state of every process; below leaves out those whose
// revision is below or higher, unless it is 0.
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

// Record returns one record as the key-value service holds it; an absent one
// gives an error of kind NotFound.
func (c *Client) Record(ctx context.Context, key config.Key) (opapi.ConfigRecord, error) {
	var r opapi.ConfigRecord
	return r, c.do(ctx, http.MethodGet, configPath(key), nil, &r)
}

// Put writes a record if the stored one has the expected revision.
func (c *Client) Put(ctx context.Context, key config.Key, record []byte, expect int64) (opapi.WriteResponse, error) {
	var w opapi.WriteResponse
	return w, c.do(ctx, http.MethodPut, configPath(key)+expectQuery(expect), record, &w)
}

// Delete removes a record if the stored one has the expected revision.
func (c *Client) Delete(ctx context.Context, key config.Key, expect int64) (opapi.WriteResponse, error) {
	var w opapi.WriteResponse
	return w, c.do(ctx, http.MethodDelete, configPath(key)+expectQuery(expect), nil, &w)
}

// Adopt puts what a restored key-value service holds into force.
func (c *Client) Adopt(ctx context.Context) (opapi.WriteResponse, error) {
	var w opapi.WriteResponse
	return w, c.do(ctx, http.MethodPost, opapi.PathAdopt, nil, &w)
}

// Plan returns the state of the expert plans as the entry gives it.
func (c *Client) Plan(ctx context.Context) (json.RawMessage, error) {
	var p json.RawMessage
	return p, c.do(ctx, http.MethodGet, opapi.PathPlan, nil, &p)
}

func configPath(key config.Key) string {
	return opapi.PathConfig + "/" + url.PathEscape(string(key.Kind)) + "/" + url.PathEscape(key.Name)
}

func expectQuery(expect int64) string { return "?expect=" + strconv.FormatInt(expect, 10) }

func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	if c.Base == "" {
		return fault.New(fault.Invalid, "give --entry or KINGCUPREEL_ENTRY, such as http://10.0.0.5:8081", "no entry to call")
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var in io.Reader = http.NoBody
	if body != nil {
		in = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, in)
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "give --entry as a URL", "building the call")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "check --entry, or use another entry", "calling the entry")
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswer))
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "try again", "reading the entry's answer")
	}
	if resp.StatusCode != http.StatusOK {
		return answerError(resp.StatusCode, answer)
	}
	if err := json.Unmarshal(answer, out); err != nil {
		return fault.Wrap(fault.Unavailable, err, "check that --entry is an entry's operator address", "decoding the entry's answer")
	}
	return nil
}

func answerError(status int, answer []byte) error {
	var body struct {
		Error *fault.Error `json:"error"`
	}
	if json.Unmarshal(answer, &body) == nil && body.Error != nil {
		return body.Error
	}
	kind := fault.Unavailable
	if status == http.StatusNotFound {
		kind = fault.NotFound
	}
	return fault.New(kind, "check --entry", "the entry answered %d: %.200s", status, answer)
}
