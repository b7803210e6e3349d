package ctl

import (
	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
	"github.com/kingcupreel/kingcupreel/internal/timeline"
)

// eventFilter selects events of the time line. Empty fields select all; an
// event has to match every field that is set.
type eventFilter struct {
	request  string
	upstream string
	group    string
	// members are the upstreams of group.
	members map[string]bool
}

// members returns the upstreams whose stored records name the group.
func members(records []opapi.ConfigRecord, group string) map[string]bool {
	of := map[string]bool{}
	for _, r := range records {
		if u, ok := decodeRecord(r).(*config.Upstream); ok && u.Group == group {
			of[u.Name] = true
		}
	}
	return of
}

func decodeRecord(r opapi.ConfigRecord) config.Object {
	obj, err := codec.DecodeAny(r.Record)
	if err != nil {
		return nil
	}
	return obj
}

// attempt names an attempt of a request.
type attempt struct {
	request string
	number  uint32
}

// apply returns the events that match.
func (f eventFilter) apply(line opapi.Timeline) []timeline.Event {
	events := []timeline.Event{}
	one := map[string]bool{f.upstream: true}
	ofUpstream := attemptsAt(line, one)
	ofGroup := attemptsAt(line, f.members)
	for _, e := range line.Events {
		switch {
		case f.request != "" && e.Request != f.request:
		case f.upstream != "" && !concerns(e, line, one, ofUpstream):
		case f.group != "" && e.Object != f.group && !concerns(e, line, f.members, ofGroup):
		default:
			events = append(events, e)
		}
	}
	return events
}

// attemptsAt returns the attempts that were dispatched to the upstreams.
func attemptsAt(line opapi.Timeline, upstreams map[string]bool) map[attempt]bool {
	at := map[attempt]bool{}
	for _, e := range line.Events {
		if e.Request != "" && e.Attempt != 0 && upstreams[e.Object] {
			at[attempt{e.Request, e.Attempt}] = true
		}
	}
	return at
}

// concerns says whether an event is of the upstreams, of their agents, or of an
// attempt there.
func concerns(e timeline.Event, line opapi.Timeline, upstreams map[string]bool, attempts map[attempt]bool) bool {
	return upstreams[e.Object] || upstreams[line.Upstreams[e.Process]] || attempts[attempt{e.Request, e.Attempt}]
}
