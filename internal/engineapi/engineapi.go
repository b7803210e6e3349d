// Package engineapi defines the parts of the common completions API that
// kingcupreel reads, and the additional calls that an engine serves for
// kingcupreel.
package engineapi

import (
	"bytes"
	"strings"
)

// Paths of an engine's HTTP interface.
const (
	PathCompletions = "/v1/completions"
	PathChat        = "/v1/chat/completions"
	PathLoad        = "/load"
)

// Headers of a call to an engine or a plain service.
const (
	HeaderRequest  = "X-Request-Id"
	HeaderAttempt  = "X-Attempt"
	HeaderPriority = "X-Priority"
)

// HeaderRequestLimit is the header of any answer, load reports included, in which an engine
// or a plain service names the requests a second that it takes, as a decimal number. The
// limit holds until an answer doesn't name it.
const HeaderRequestLimit = "X-Request-Limit"

// StreamEnd is the event that ends a stream.
const StreamEnd = "data: [DONE]\n\n"

// IsStreamEnd reports whether an event ends its stream.
func IsStreamEnd(event []byte) bool {
	data, ok := bytes.CutPrefix(event, []byte("data:"))
	return ok && string(bytes.TrimSpace(data)) == "[DONE]"
}

// ChatMessage is one message of a chat completion's conversation.
type ChatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (m ChatMessage) text() string { return m.Role + ": " + m.Content }

// Resume asks an engine to continue a stream that another engine started.
type Resume struct {
	// Tokens is the number of tokens generated so far.
	Tokens int `json:"tokens"`
	// Text is the text generated so far.
	Text string `json:"text"`
}

// Call is the body of a completion request. Other fields are forwarded without
// being read.
type Call struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt,omitempty"`
	Messages  []ChatMessage `json:"messages,omitempty"`
	MaxTokens int           `json:"max_tokens,omitempty"`
	Stream    bool          `json:"stream,omitempty"`
	Resume    Resume        `json:"kingcupreel_resume,omitzero"`
}

// PromptText returns the prompt, or the chat's messages with their roles, one
// per line.
func (c *Call) PromptText() string {
	if len(c.Messages) == 0 {
		return c.Prompt
	}
	parts := make([]string, 0, len(c.Messages))
	for _, m := range c.Messages {
		parts = append(parts, m.text())
	}
	return strings.Join(parts, "\n")
}

// SharedParts returns the chat's messages with their roles, without the last one: other
// requests may share them.
func (c *Call) SharedParts() []string {
	var parts []string
	for _, m := range c.Messages[:max(len(c.Messages)-1, 0)] {
		parts = append(parts, m.text())
	}
	return parts
}

// Choice is one alternative of a completion.
type Choice struct {
	Index int    `json:"index"`
	Text  string `json:"text"`
}

// Answer is the body of a completion response, or one event of a stream.
type Answer struct {
	ID      string   `json:"id,omitempty"`
	Choices []Choice `json:"choices"`
}

// Load is an engine's load report, in requests.
type Load struct {
	Running  int `json:"running"`
	Queued   int `json:"queued"`
	Capacity int `json:"capacity"`
}
