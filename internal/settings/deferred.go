package settings

import (
	"strconv"
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// malformedValues holds the flag values that can't be parsed, by flag name.
// Check reports them together with the other faults.
type malformedValues map[string]malformedValue

// malformedValue is the text of a value that can't be parsed, and how to correct
// it.
type malformedValue struct{ text, remedy string }

// deferredValue is a kingpin.Value that records a parse error in malformed
// instead of returning it, since kingpin stops at the first error.
type deferredValue struct {
	name      string
	text      string
	remedy    string
	malformed *malformedValues
	parse     func(string) error
}

// String implements kingpin.Value.
func (v *deferredValue) String() string { return v.text }

// Set implements kingpin.Value. It never fails.
func (v *deferredValue) Set(text string) error {
	v.text = text
	if *v.malformed == nil {
		*v.malformed = malformedValues{}
	}
	delete(*v.malformed, v.name)
	if v.parse(text) != nil {
		(*v.malformed)[v.name] = malformedValue{text, v.remedy}
	}
	return nil
}

// duration declares a flag whose value is a duration.
func (c *Common) duration(cmd *kingpin.CmdClause, name, help, defaultText string, target *time.Duration) {
	remedy := "give a duration with a unit, such as " + defaultText
	parse := func(text string) error {
		d, err := time.ParseDuration(text)
		*target = d
		return err
	}
	flag(cmd, name, help+" A duration with a unit (ms, s, m, h).").Default(defaultText).
		SetValue(&deferredValue{name: name, remedy: remedy, malformed: &c.malformed, parse: parse})
}

// number declares a flag whose value is an integer.
func (c *Common) number(cmd *kingpin.CmdClause, name, help, defaultText string, target *int) {
	parse := func(text string) error {
		n, err := strconv.Atoi(text)
		*target = n
		return err
	}
	flag(cmd, name, help).Default(defaultText).
		SetValue(&deferredValue{name: name, remedy: "give a whole number, such as " + defaultText, malformed: &c.malformed, parse: parse})
}
