package entry

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
)

// maxTranscriptBytes bounds the events of a stream that are kept for resuming
// it.
const maxTranscriptBytes = 1 << 20

// transcript holds the events of a stream that were written to the caller, so
// that another replica can continue the stream.
type transcript struct {
	events   [][]byte
	size     int
	overflow bool
}

// add appends an event. It drops all events once they exceed
// maxTranscriptBytes.
func (t *transcript) add(event []byte) {
	t.size += len(event)
	if t.overflow || t.size > maxTranscriptBytes {
		t.overflow = true
		t.events = nil
		return
	}
	t.events = append(t.events, event)
}

// complete reports whether the stream's last event was written.
func (t *transcript) complete() bool {
	n := len(t.events)
	return n > 0 && engineapi.IsStreamEnd(t.events[n-1])
}

// streamEvent holds the fields of a stream's event that resuming needs.
type streamEvent struct {
	Choices []struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// text returns the text generated so far and its number of tokens. False means
// that the stream can't be resumed: it is too long, has several choices, or has
// events of another form.
func (t *transcript) text() (string, int, bool) {
	var text strings.Builder
	tokens := 0
	for _, event := range t.events {
		if trimmed := bytes.TrimSpace(event); len(trimmed) == 0 || trimmed[0] == ':' {
			continue
		}
		data, ok := bytes.CutPrefix(event, []byte("data:"))
		var d streamEvent
		if !ok || json.Unmarshal(data, &d) != nil || len(d.Choices) > 1 {
			return "", 0, false
		}
		for _, c := range d.Choices {
			content := c.Text + c.Delta.Content
			if c.Index != 0 {
				return "", 0, false
			}
			if content != "" {
				tokens++
			}
			text.WriteString(content)
		}
	}
	return text.String(), tokens, !t.overflow
}
