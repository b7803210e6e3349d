package ctl

import (
	"encoding/json"
	"fmt"

	"sigs.k8s.io/yaml"
)

// printPlan prints the state of the expert plans for a reader.
func (t *tool) printPlan(p json.RawMessage) {
	out, err := yaml.JSONToYAML(p)
	if err != nil {
		out = p
	}
	fmt.Fprintln(t.out, string(out))
}
