package scenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/kingcupreel/kingcupreel/internal/engineapi"
	"github.com/kingcupreel/kingcupreel/internal/outcome"
	"github.com/kingcupreel/kingcupreel/internal/standin/engine"
	"github.com/kingcupreel/kingcupreel/internal/standin/plain"
	"github.com/kingcupreel/kingcupreel/internal/wire"
)

// checkAnswer implements "check answer PROMPT TOKENS FILE": it prints "whole"
// if the file holds exactly the complete streamed answer to the prompt.
func checkAnswer(args []string) error {
	tokens, err := strconv.Atoi(args[1])
	if err != nil {
		return err
	}
	data, err := os.ReadFile(args[2])
	if err != nil {
		return err
	}
	text, endEvents, err := streamText(string(data))
	if err != nil {
		return err
	}
	if want := engine.Text(args[0], tokens); text != want || endEvents != 1 {
		return fmt.Errorf("answer of %d bytes with %d end events, want %d bytes and 1 end event", len(text), endEvents, len(want))
	}
	fmt.Println("whole")
	return nil
}

// streamText returns the concatenated text of a stream and the number of its
// end events.
func streamText(s string) (string, int, error) {
	var text strings.Builder
	endEvents := 0
	for line := range strings.Lines(s) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			endEvents++
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
	return text.String(), endEvents, nil
}

// checkTokens prints how many tokens the engines generated, in total and for
// the prompt that is the first argument.
func checkTokens(args []string) error {
	total, ofPrompt := 0, 0
	for _, url := range args[1:] {
		var runs []engine.Run
		if err := fetch(url+"/admin/runs", &runs); err != nil {
			return err
		}
		for _, r := range runs {
			total += r.Tokens
			if r.Prompt == args[0] {
				ofPrompt += r.Tokens
			}
		}
	}
	fmt.Printf("total=%d tokens=%d\n", total, ofPrompt)
	return nil
}

// checkPrompt prints how often the engines ran the prompt that is the first
// argument.
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

// checkCalls prints how many calls with the body that is the first argument the
// plain services ran.
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

// garbage holds the first bytes sent by peers that don't speak the inner
// protocol: another protocol, a huge frame, a small frame that claims huge
// contents, a truncated frame, and nothing.
var garbage = [][]byte{
	[]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
	{0xff, 0xff, 0xff, 0xff, 1, 1, 1},
	{0, 0, 0, 8, byte(wire.KindEventsReply), 0x92, 1, 0xdd, 0xff, 0xff, 0xff, 0xff},
	{0, 0, 1, 0, byte(wire.KindDispatch), 0x91},
	{},
}

// checkGarbage sends garbage to each address and prints how many of the
// connections the other side closed.
func checkGarbage(addresses []string) error {
	var closed atomic.Int32
	var wg sync.WaitGroup
	for _, address := range addresses {
		for _, data := range garbage {
			c, err := net.Dial("tcp", address)
			if err != nil {
				return err
			}
			wg.Go(func() {
				defer c.Close()
				_, _ = c.Write(data)
				_, _ = io.Copy(io.Discard, c)
				closed.Add(1)
			})
		}
	}
	wg.Wait()
	fmt.Printf("closed=%d\n", closed.Load())
	return nil
}

// checkOdd implements "check odd ENTRY_URL CALLS PATH": it sends calls to a service of which one
// upstream gives odd answers only, half of them with a body that an upstream may answer before it
// has read it. It prints how many were answered whole by a sound upstream and how many ended with
// an error of the entry, and fails if anything else was answered.
func checkOdd(args []string) error {
	const parallel = 8
	var whole, failed, wrong atomic.Int32
	var wg sync.WaitGroup
	for i := range parallel {
		wg.Go(func() {
			for n := i; n < mustAtoi(args[1]); n += parallel {
				body := fmt.Sprint("call ", n)
				if n%2 == 0 {
					body += strings.Repeat("u", 4<<20-len(body))
				}
				status, o, answer, err := callOnce(args[0]+args[2], fmt.Sprint(args[2], n), body)
				var receipt plain.Receipt
				switch {
				case err == nil && o == outcome.Completed && status == http.StatusOK && json.Unmarshal(answer, &receipt) == nil && receipt.Done == body:
					whole.Add(1)
				case err == nil && o != outcome.Completed && o != "" && status >= http.StatusBadRequest && status < 600:
					failed.Add(1)
				default:
					wrong.Add(1)
					fmt.Printf("%d %s %v %.200q\n", status, o, err, answer)
				}
			}
		})
	}
	wg.Wait()
	fmt.Printf("whole=%d failed=%d wrong=%d\n", whole.Load(), failed.Load(), wrong.Load())
	if wrong.Load() > 0 {
		return errors.New("callers got answers that aren't whole")
	}
	return nil
}

// callOnce sends a call with a key and returns the status, the outcome and the body of its answer.
func callOnce(url, key, body string) (int, outcome.Outcome, []byte, error) {
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return 0, "", nil, err
	}
	req.Header.Set("Authorization", "Bearer account-1")
	req.Header.Set("Idempotency-Key", key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, "", nil, err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, outcome.Outcome(resp.Header.Get(outcome.Header)), answer, err
}
