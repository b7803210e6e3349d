package raw

import (
	"fmt"
	"strings"
	"time"
)

// Odd is a kind of answers that a client must not take for whole ones.
type Odd struct {
	Kind    string
	Answers []Answer
}

// OddAnswers returns odd answers of all kinds. head is the head of a whole answer of HTTP/1.1 with
// status 200, without a framing and the blank line, body its body. Cut answers end within it.
func OddAnswers(head, body string) []Odd {
	framed := func(head, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	chunked := fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
	part := head + "\r\n" + body[:len(body)/2]
	var statuses, beforeAnother, names []Answer
	for _, status := range []string{"000", "099", "+20", "101", "600", "999", "20"} {
		odd := strings.Replace(head, " 200 ", " "+status+" ", 1)
		statuses = append(statuses, Answer{Text: framed(odd, body)})
		beforeAnother = append(beforeAnother, Answer{Text: framed(odd, framed(head, body))})
	}
	for _, line := range []string{"X Odd: 1", "X-Odd : 1", "X\tOdd: 1", "X\x00: 1", "X\x80: 1", ": 1", "X"} {
		names = append(names, Answer{Text: framed(head+line+"\r\n", body)})
	}
	kinds := []Odd{
		{"reset before the request is read", []Answer{{Text: part, End: Reset}, {Text: part, Delay: 5 * time.Millisecond, End: Reset}, {Text: part, Delay: 100 * time.Millisecond, End: Reset}}},
		{"status", statuses},
		{"status before an answer", beforeAnother},
		{"line in the head", names},
		{"name of the framing", []Answer{{Text: head + strings.Replace(chunked, ":", " :", 1)}, {Text: head + strings.Replace(chunked, "-", " ", 1)}}},
		{"transfer coding of HTTP/1.0", []Answer{{Text: strings.Replace(head, "HTTP/1.1", "HTTP/1.0", 1) + chunked}}},
		{"head without end", []Answer{{Text: head, Repeat: strings.Repeat("X-Junk: junk\r\n", 1<<10)}, {Text: head + "X-Junk: ", Repeat: strings.Repeat("junk", 1<<12)}}},
		{"body without end", []Answer{{Text: head + "\r\n", Repeat: strings.Repeat("junk", 1<<12)}, {Text: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: "400\r\n" + strings.Repeat("j", 1<<10) + "\r\n"}}},
		{"chunk without end", []Answer{{Text: head + "Transfer-Encoding: chunked\r\n\r\n", Repeat: strings.Repeat("0", 1<<14)}}},
	}
	for _, k := range kinds {
		for i := range k.Answers {
			if a := &k.Answers[i]; a.End != Reset {
				a.ReadFirst, a.End = a.Repeat == "", Close
			}
		}
	}
	return kinds
}
