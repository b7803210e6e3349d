package eventstream

import "strings"

// Follows reports whether an event with the given ID may come after one with the ID last.
// The IDs of a stream increase: decimal numbers are compared as numbers, and of any others it
// is only known that they don't repeat. An event or a predecessor without an ID, "", may be
// anywhere.
func Follows(last, id string) bool {
	if last == "" || id == "" {
		return true
	}
	if !isDecimal(last) || !isDecimal(id) {
		return id != last
	}
	last, id = strings.TrimLeft(last, "0"), strings.TrimLeft(id, "0")
	if len(id) != len(last) {
		return len(id) > len(last)
	}
	return id > last
}

func isDecimal(text string) bool {
	return strings.Trim(text, "0123456789") == ""
}
