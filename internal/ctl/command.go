package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/fault"
)

// Exit codes of the tool.
const (
	ExitOK      = 0
	ExitFailure = 1
	// ExitUsage is a wrong argument or an invalid record.
	ExitUsage = 2
	// ExitConflict is a record that changed under the operator.
	ExitConflict = 3
	// ExitDiffers is a diff that found differences.
	ExitDiffers = 4
	// ExitNotInForce is a revision that is not in force everywhere in time.
	ExitNotInForce = 5
)

// exitError ends the command with a code of its own.
type exitError struct {
	code    int
	message string
}

// Error implements the error interface.
func (e *exitError) Error() string { return e.message }

// tool is one run of the command line.
type tool struct {
	client Client
	out    io.Writer
	errOut io.Writer
	output string

	files       []string
	kind, name  string
	old         bool
	wait        bool
	waitTimeout time.Duration
	undo        bool
	toVersion   int
	stored      bool
	filter      eventFilter
}

// Main parses the arguments and runs the command. It returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	app := kingpin.New("kingcupreelctl", "Operate kingcupreel.")
	app.UsageWriter(out).ErrorWriter(errOut)
	t := &tool{out: out, errOut: errOut}
	commands := t.declare(app)
	cmd, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(errOut, "%v; see kingcupreelctl --help\n", err)
		return ExitUsage
	}
	if err := commands[cmd](ctx); err != nil {
		fmt.Fprintln(errOut, err)
		return exitCode(err)
	}
	return ExitOK
}

// declare adds the flags and commands, and returns what each command runs.
func (t *tool) declare(app *kingpin.Application) map[string]func(context.Context) error {
	app.Flag("entry", "Base URL of an entry's operator interface, such as http://10.0.0.5:8081.").Envar("KINGCUPREEL_ENTRY").StringVar(&t.client.BaseURL)
	app.Flag("token", "Operator's bearer token.").Envar("KINGCUPREEL_TOKEN").StringVar(&t.client.Token)
	app.Flag("output", "Output form: text or json.").Short('o').Envar("KINGCUPREEL_OUTPUT").Default("text").EnumVar(&t.output, "text", "json")
	commands := map[string]func(context.Context) error{}
	command := func(name, help string, run func(context.Context) error) *kingpin.CmdClause {
		commands[name] = run
		return app.Command(name, help)
	}
	files := func(cmd *kingpin.CmdClause) {
		cmd.Arg("file", "YAML or JSON files.").Required().ExistingFilesVar(&t.files)
	}
	files(command("validate", "Check record files without an entry.", t.validate))
	apply := command("apply", "Write record files; an old-form record keeps the fields that only the new form has.", t.apply)
	t.waitFlags(apply)
	files(apply)
	files(command("diff", "Show what apply would change. Exit code 4 when anything would.", t.diff))
	get := command("get", "Show the records, or one record as a file for apply.", t.get)
	get.Flag("old", "Only records still in the old form.").BoolVar(&t.old)
	get.Arg("kind", "Kind, such as upstream.").StringVar(&t.kind)
	get.Arg("name", "Name.").StringVar(&t.name)
	remove := command("delete", "Remove a record.", t.delete)
	t.waitFlags(remove)
	remove.Arg("kind", "Kind, such as upstream.").Required().StringVar(&t.kind)
	remove.Arg("name", "Name.").Required().StringVar(&t.name)
	drain := command("drain", "Give an upstream no new work; work in flight goes on.", t.drain)
	t.waitFlags(drain)
	drain.Flag("undo", "Give it work again.").BoolVar(&t.undo)
	drain.Arg("upstream", "Name of the upstream.").Required().StringVar(&t.name)
	convert := command("convert", "Print record files in the other form, or rewrite stored old-form records in the new one.", t.convert)
	convert.Flag("to", "Schema version: 1 or 2.").Default("2").IntVar(&t.toVersion)
	convert.Flag("stored", "Rewrite the stored old-form records.").BoolVar(&t.stored)
	convert.Arg("file", "YAML or JSON files.").ExistingFilesVar(&t.files)
	command("status", "Show revision, staleness, load and drains of every process.", t.status)
	command("plan", "Show the state of the expert plans.", t.plan)
	command("quarantine", "Show the requests that were in flight when engines crashed.", t.quarantine)
	command("adopt", "Put into force what a key-value service restored from an older copy holds.", t.adopt)
	events := command("timeline", "Show the events of all processes in causal order.", t.timeline)
	events.Flag("request", "Only events of this request.").StringVar(&t.filter.request)
	events.Flag("upstream", "Only events of this upstream, its agent and its attempts.").StringVar(&t.filter.upstream)
	events.Flag("group", "Only events of this model group, its upstreams and their attempts.").StringVar(&t.filter.group)
	return commands
}

func (t *tool) waitFlags(cmd *kingpin.CmdClause) {
	cmd.Flag("wait", "Return when the change is in force everywhere, or name who lacks it.").BoolVar(&t.wait)
	cmd.Flag("wait-timeout", "Time that --wait waits.").Default("10s").DurationVar(&t.waitTimeout)
}

func exitCode(err error) int {
	if e, ok := err.(*exitError); ok {
		return e.code
	}
	switch fault.KindOf(err) {
	case fault.Conflict:
		return ExitConflict
	case fault.Invalid:
		return ExitUsage
	}
	return ExitFailure
}

// print writes v as JSON, or runs text.
func (t *tool) print(v any, text func()) error {
	if t.output == "json" {
		return json.NewEncoder(t.out).Encode(v)
	}
	text()
	return nil
}
