package scenario

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/standin/engine"
	"github.com/kingcupreel/kingcupreel/internal/standin/plain"
)

// checkAnswer is "check answer PROMPT TOKENS FILE": it prints "whole" when the
// file holds the one whole streamed answer to the prompt.
func checkAnswer(args []string) error {
	tokens, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	data, err := os.ReadFile(args[2])
	if err != nil {
		return err
	}
	text, ends, err := streamText(string(data))
	if err != nil {
		return err
	}
	if want := engine.Text(args[0], tokens); text != want || ends != 1 {
		return fmt.Errorf("answer of %d bytes with %d ends, want %d bytes", len(text), ends, len(want))
	}
	fmt.Println("whole")
	return nil
}

// streamText joins a stream's text and counts its end events.
func streamText(s string) (string, int, error) {
	var text strings.Builder
	ends := 0
	for line := range strings.Lines(s) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			ends++
			continue
		}
		var a engineapi.Answer
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			return "", 0, err
		}
		for _, c := range a.Choices {
			text.WriteString(c.Text)
		}
	}
	return text.String(), ends, nil
}

// checkTokens prints how many tokens the engines generated, over all runs and
// over those of the prompt that is the first argument.
func checkTokens(args []string) error {
	total, own := 0, 0
	for _, url := range args[1:] {
		var runs []engine.Run
		if err := fetch(url+"/admin/runs", &runs); err != nil {
			return err
		}
		for _, r := range runs {
			total += r.Tokens
			if r.Prompt == args[0] {
				own += r.Tokens
			}
		}
	}
	fmt.Printf("total=%d tokens=%d\n", total, own)
	return nil
}

// checkPrompt prints how often the engines ran a prompt.
func checkPrompt(args []string) error {
	n := 0
	for _, url := range args[1:] {
		var runs []engine.Run
		if err := fetch(url+"/admin/runs", &runs); err != nil {
			return err
		}
		for _, r := range runs {
			if r.Prompt == args[0] {
				n++
			}
		}
	}
	fmt.Printf("runs=%d\n", n)
	return nil
}

// checkIdle prints the load that an engine reports.
func checkIdle(urls []string) error {
	var l engineapi.Load
	if err := fetch(urls[0]+engineapi.PathLoad, &l); err != nil {
		return err
	}
	fmt.Printf("running=%d queued=%d\n", l.Running, l.Queued)
	return nil
}

// checkCalls prints how many calls with a body the plain services ran.
func checkCalls(args []string) error {
	n := 0
	for _, url := range args[1:] {
		var calls []plain.Call
		if err := fetch(url+"/admin/calls", &calls); err != nil {
			return err
		}
		for _, c := range calls {
			if c.Body == args[0] {
				n++
			}
		}
	}
	fmt.Printf("calls=%d\n", n)
	return nil
}
