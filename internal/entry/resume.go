package entry

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
)

// resumeLimit bounds the events of a stream that are kept for its resumption,
// in bytes.
const resumeLimit = 1 << 20

// transcript keeps the events of a stream that the caller has, so that another
// replica can go on with it.
type transcript struct {
	events   [][]byte
	size     int
	overflow bool
}

// add keeps an event.
func (t *transcript) add(event []byte) {
	t.size += len(event)
	if t.overflow || t.size > resumeLimit {
		t.overflow = true
		t.events = nil
		return
	}
	t.events = append(t.events, event)
}

// ended says whether the stream's last event has been passed on.
func (t *transcript) ended() bool {
	n := len(t.events)
	return n > 0 && engineapi.IsStreamEnd(t.events[n-1])
}

// delta is what a resumption reads of a stream's event.
type delta struct {
	Choices []struct {
		Index int    `json:"index"`
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

// text returns the text generated so far and its number of tokens; false means
// that the stream can't be resumed: it is too long, has several choices, or
// isn't in the usual form.
func (t *transcript) text() (string, int, bool) {
	var text strings.Builder
	tokens := 0
	for _, event := range t.events {
		if trimmed := bytes.TrimSpace(event); len(trimmed) == 0 || trimmed[0] == ':' {
			continue
		}
		data, ok := bytes.CutPrefix(event, []byte("data:"))
		var d delta
		if !ok || json.Unmarshal(data, &d) != nil || len(d.Choices) > 1 {
			return "", 0, false
		}
		for _, c := range d.Choices {
			part := c.Text + c.Delta.Content
			if c.Index != 0 {
				return "", 0, false
			}
			if part != "" {
				tokens++
			}
			text.WriteString(part)
		}
	}
	return text.String(), tokens, !t.overflow
}
