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
	"github.com/kingcupreel/kingcupreel/internal/timeline"
)

// callTimeout bounds a call to an entry.
const callTimeout = 10 * time.Second

// Client calls an entry's operator interface.
type Client struct {
	Base  string
	Token string
}

// Status returns the entry's status.
func (c *Client) Status(ctx context.Context) (opapi.Status, error) {
	var s opapi.Status
	return s, c.do(ctx, http.MethodGet, opapi.PathStatus, nil, &s)
}

// Events returns the merged time line.
func (c *Client) Events(ctx context.Context) ([]timeline.Event, error) {
	var events []timeline.Event
	return events, c.do(ctx, http.MethodGet, opapi.PathEvents, nil, &events)
}

// Config returns the configuration in force at the entry.
func (c *Client) Config(ctx context.Context) (opapi.ConfigList, error) {
	var l opapi.ConfigList
	return l, c.do(ctx, http.MethodGet, opapi.PathConfig, nil, &l)
}

// Put writes a record if the stored one has the expected revision.
func (c *Client) Put(ctx context.Context, key config.Key, record []byte, expect int64) (opapi.Written, error) {
	var w opapi.Written
	path := opapi.PathConfig + "/" + string(key.Kind) + "/" + url.PathEscape(key.Name)
	path += "?expect=" + strconv.FormatInt(expect, 10)
	return w, c.do(ctx, http.MethodPut, path, record, &w)
}

func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, c.Base+path, bytes.NewReader(body))
	if err != nil {
		return fault.Wrap(fault.Invalid, err, "give --entry as a URL", "building the call")
	}
	req.Header.Set("Authorization", "Bearer "+c.Token)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "check --entry, or use another entry", "calling the entry")
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "try again", "reading the entry's answer")
	}
	if resp.StatusCode != http.StatusOK {
		return answerError(resp.StatusCode, answer)
	}
	return json.Unmarshal(answer, out)
}

func answerError(status int, answer []byte) error {
	var body struct {
		Error *fault.Error `json:"error"`
	}
	if json.Unmarshal(answer, &body) == nil && body.Error != nil {
		return body.Error
	}
	return fault.New(fault.Unavailable, "check --entry", "the entry answered %d: %.200s", status, answer)
}
