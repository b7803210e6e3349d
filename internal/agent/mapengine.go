package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/expertmap"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/httphead"
)

const (
	// mapCallTimeout bounds a call to the engine about expert maps.
	mapCallTimeout = 2 * time.Second
	// maxMapAnswer bounds the body of the engine's answer, in bytes. The largest one is a status
	// with its map, which has some 25 bytes a slot.
	maxMapAnswer = 4 << 20
)

// mapEngine is the client of the expert map interface of this VM's engine.
type mapEngine struct {
	base string
	http *http.Client
}

var _ expertmap.Engine = (*mapEngine)(nil)

// newMapEngine returns a client whose calls use a connection each: a faulty engine may write
// an earlier answer again on a kept one, and answers don't name their call.
func newMapEngine(base string) *mapEngine {
	transport := &http.Transport{DialContext: newDialer().DialContext, DisableKeepAlives: true, DisableCompression: true}
	return &mapEngine{base: base, http: &http.Client{Transport: httphead.NewTransport(transport)}}
}

// call sends a POST with the JSON of body, or a GET if body is nil, and decodes
// the response into out.
func (e *mapEngine) call(path string, body, out any) error {
	method, reader := http.MethodGet, io.Reader(http.NoBody)
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return err
		}
		method, reader = http.MethodPost, bytes.NewReader(data)
	}
	ctx, cancel := context.WithTimeout(context.Background(), mapCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, e.base+path, reader)
	if err != nil {
		return err
	}
	resp, err := e.http.Do(req)
	if err != nil {
		return fault.Wrap(fault.Unavailable, err, "send the order again", "calling the engine")
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return engineError(resp)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxMapAnswer)).Decode(out); err != nil {
		return fault.Wrap(fault.Unavailable, err, "send the order again", "reading the engine's answer to %s", path)
	}
	return nil
}

// engineError converts an engine's error response to an error.
func engineError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<10))
	kind := fault.Unavailable
	switch resp.StatusCode {
	case http.StatusConflict:
		kind = fault.Conflict
	case http.StatusGone:
		kind = fault.Stale
	case http.StatusBadRequest:
		kind = fault.Invalid
	case http.StatusNotFound:
		kind = fault.NotFound
	}
	return fault.New(kind, "", "the engine refused the call: %s", strings.TrimSpace(string(text)))
}

// Hold implements expertmap.Engine.
func (e *mapEngine) Hold(id expertmap.SwitchID, fence int64) (bool, error) {
	var v engineapi.MapVote
	err := e.call(engineapi.PathMapHold, engineapi.MapHold{ID: id, Fence: fence}, &v)
	return v.Yes, err
}

// Refuse implements expertmap.Engine.
func (e *mapEngine) Refuse(id expertmap.SwitchID) (bool, error) {
	var v engineapi.MapVote
	err := e.call(engineapi.PathMapRefuse, engineapi.MapHold{ID: id}, &v)
	return v.Yes, err
}

// Resume implements expertmap.Engine.
func (e *mapEngine) Resume(id expertmap.SwitchID, version int64) error {
	return e.call(engineapi.PathMapResume, engineapi.MapResume{ID: id, Version: version}, &struct{}{})
}

// Status implements expertmap.Engine.
func (e *mapEngine) Status() (expertmap.Status, error) {
	s, err := e.status()
	return s.Status, err
}

// status returns the engine's status with its map and load.
func (e *mapEngine) status() (engineapi.MapStatus, error) {
	var s engineapi.MapStatus
	err := e.call(engineapi.PathMapStatus, nil, &s)
	return s, err
}

// Stop implements expertmap.Engine.
func (e *mapEngine) Stop(round, stagedVersion int64) (expertmap.Report, error) {
	var r expertmap.Report
	err := e.call(engineapi.PathMapStop, engineapi.MapStop{Round: round, StagedVersion: stagedVersion}, &r)
	return r, err
}

// Form implements expertmap.Engine.
func (e *mapEngine) Form(round, version, completed int64) error {
	return e.call(engineapi.PathMapForm, engineapi.MapForm{Round: round, Version: version, Completed: completed}, &struct{}{})
}

// stage makes the engine load the weights of a map.
func (e *mapEngine) stage(m expertmap.Map, fence int64) error {
	return e.call(engineapi.PathMapStage, engineapi.MapStage{Map: m, Fence: fence}, &struct{}{})
}
