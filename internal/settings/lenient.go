package settings

import (
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// malformed holds the text of values that can't be parsed, by flag. They are
// reported with the other faults of a start instead of ending it at the first.
type malformed map[string]badValue

// badValue is a value that can't be parsed.
type badValue struct{ text, remedy string }

// lenient is a kingpin.Value that keeps a value that can't be parsed.
type lenient struct {
	name   string
	text   string
	remedy string
	bad    *malformed
	parse  func(string) error
}

// String implements kingpin.Value.
func (l *lenient) String() string { return l.text }

// Set implements kingpin.Value. It never fails.
func (l *lenient) Set(text string) error {
	l.text = text
	if *l.bad == nil {
		*l.bad = malformed{}
	}
	delete(*l.bad, l.name)
	if l.parse(text) != nil {
		(*l.bad)[l.name] = badValue{text, l.remedy}
	}
	return nil
}

// duration declares a flag that holds a duration.
func (c *Common) duration(cmd *kingpin.CmdClause, name, help, byDefault string, target *time.Duration) {
	remedy := "give a duration with a unit, such as " + byDefault
	parse := func(text string) error {
		d, err := time.ParseDuration(text)
		*target = d
		return err
	}
	flag(cmd, name, help+" A duration with a unit (ms, s, m, h).").Default(byDefault).
		SetValue(&lenient{name: name, remedy: remedy, bad: &c.bad, parse: parse})
}

// number declares a flag that holds a whole number.
func (c *Common) number(cmd *kingpin.CmdClause, name, help, byDefault string, target *int) {
	parse := func(text string) error {
		n, err := strconv.Atoi(text)
		*target = n
		return err
	}
	flag(cmd, name, help).Default(byDefault).
		SetValue(&lenient{name: name, remedy: "give a whole number, such as " + byDefault, bad: &c.bad, parse: parse})
}
