package ctl

import (
	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
)

// eventFilter selects timeline events. An event must match every field that is
// set; a filter without fields matches all events.
type eventFilter struct {
	request  string
	upstream string
	group    string
	// members holds the names of the group's upstreams.
	members map[string]bool
}

// members returns the names of the upstreams whose stored records belong to the
// group.
func members(records []opapi.ConfigRecord, group string) map[string]bool {
	names := map[string]bool{}
	for _, r := range records {
		if u, ok := decodeRecord(r).(*config.Upstream); ok && u.Group == group {
			names[u.Name] = true
		}
	}
	return names
}

func decodeRecord(r opapi.ConfigRecord) config.Object {
	obj, err := codec.DecodeAny(r.Record)
	if err != nil {
		return nil
	}
	return obj
}

// attempt identifies one attempt of a request.
type attempt struct {
	request string
	number  uint32
}

// apply returns the events that match the filter.
func (f eventFilter) apply(tl opapi.Timeline) []timeline.Event {
	events := []timeline.Event{}
	onlyUpstream := map[string]bool{f.upstream: true}
	upstreamAttempts := attemptsAt(tl, onlyUpstream)
	groupAttempts := attemptsAt(tl, f.members)
	for _, e := range tl.Events {
		switch {
		case f.request != "" && e.Request != f.request:
		case f.upstream != "" && !concerns(e, tl, onlyUpstream, upstreamAttempts):
		case f.group != "" && e.Object != f.group && !concerns(e, tl, f.members, groupAttempts):
		default:
			events = append(events, e)
		}
	}
	return events
}

// attemptsAt returns the attempts that were dispatched to the upstreams.
func attemptsAt(tl opapi.Timeline, upstreams map[string]bool) map[attempt]bool {
	attempts := map[attempt]bool{}
	for _, e := range tl.Events {
		if e.Request != "" && e.Attempt != 0 && upstreams[e.Object] {
			attempts[attempt{e.Request, e.Attempt}] = true
		}
	}
	return attempts
}

// concerns reports whether an event belongs to one of the upstreams, one of
// their agents, or one of the attempts.
func concerns(e timeline.Event, tl opapi.Timeline, upstreams map[string]bool, attempts map[attempt]bool) bool {
	return upstreams[e.Object] || upstreams[tl.Upstreams[e.Process]] || attempts[attempt{e.Request, e.Attempt}]
}
