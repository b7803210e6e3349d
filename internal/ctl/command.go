package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/config"
	"github.com/kingcupreel/kingcupreel/internal/config/codec"
	"github.com/kingcupreel/kingcupreel/internal/fault"
	"github.com/kingcupreel/kingcupreel/internal/opapi"
)

// Exit codes of the tool.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitConflict = 3
)

// tool is one run of the command line.
type tool struct {
	client Client
	out    io.Writer
	output string
}

// Main parses the arguments and runs the command. It returns the exit code.
func Main(ctx context.Context, args []string, out, errOut io.Writer) int {
	app := kingpin.New("kingcupreelctl", "Operate kingcupreel.")
	app.UsageWriter(out).ErrorWriter(errOut)
	t := &tool{out: out}
	app.Flag("entry", "Base URL of an entry's operator interface.").Envar("KINGCUPREEL_ENTRY").StringVar(&t.client.Base)
	app.Flag("token", "Operator's bearer token.").Envar("KINGCUPREEL_TOKEN").StringVar(&t.client.Token)
	app.Flag("output", "Output form: text or json.").Short('o').Default("text").EnumVar(&t.output, "text", "json")

	commands := map[string]func(context.Context) error{}
	command := func(name, help string, run func(context.Context) error) *kingpin.CmdClause {
		commands[name] = run
		return app.Command(name, help)
	}
	var files []string
	command("validate", "Check record files without an entry.", func(context.Context) error { return t.validate(files) }).
		Arg("file", "YAML or JSON files.").Required().ExistingFilesVar(&files)
	command("apply", "Write record files.", func(ctx context.Context) error { return t.apply(ctx, files) }).
		Arg("file", "YAML or JSON files.").Required().ExistingFilesVar(&files)
	command("get", "Show the configuration in force.", t.get)
	command("status", "Show an entry's state.", t.status)
	command("plan", "Show the groups' expert maps and moves.", t.plan)
	command("timeline", "Show the events of all processes in order.", t.timeline)

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

func exitCode(err error) int {
	switch fault.KindOf(err) {
	case fault.Conflict:
		return ExitConflict
	case fault.Invalid:
		return ExitUsage
	}
	return ExitFailure
}

// document is one record read from a file.
type document struct {
	file   string
	object config.Object
	json   []byte
}

func load(files []string) ([]document, error) {
	var docs []document
	for _, file := range files {
		data, err := os.ReadFile(file)
		if err != nil {
			return nil, fault.Wrap(fault.Invalid, err, "name a readable file", "reading records")
		}
		for _, part := range codec.SplitYAML(data) {
			record, err := codec.FromYAML(part)
			if err != nil {
				return nil, err
			}
			obj, err := codec.DecodeAny(record)
			if err != nil {
				return nil, fault.Wrap(fault.Invalid, err, "correct the file", "%s", file)
			}
			docs = append(docs, document{file, obj, record})
		}
	}
	return docs, nil
}

func (t *tool) validate(files []string) error {
	docs, err := load(files)
	if err != nil {
		return err
	}
	fmt.Fprintf(t.out, "%d records are valid\n", len(docs))
	return nil
}

func (t *tool) apply(ctx context.Context, files []string) error {
	docs, err := load(files)
	if err != nil {
		return err
	}
	present, err := t.client.Config(ctx)
	if err != nil {
		return err
	}
	revisions := map[string]int64{}
	for _, r := range present.Records {
		revisions[r.Key] = r.Revision
	}
	for _, d := range docs {
		key := d.object.Key()
		written, err := t.client.Put(ctx, key, d.json, revisions[key.Path()])
		if err != nil {
			return err
		}
		fmt.Fprintf(t.out, "%s %s written at revision %d\n", key.Kind, key.Name, written.Revision)
	}
	return nil
}

func (t *tool) get(ctx context.Context) error {
	list, err := t.client.Config(ctx)
	if err != nil {
		return err
	}
	return t.print(list, func() {
		fmt.Fprintf(t.out, "revision %d\n", list.Revision)
		for _, r := range list.Records {
			fmt.Fprintf(t.out, "%s @%d %s\n", r.Key, r.Revision, r.Record)
		}
	})
}

func (t *tool) status(ctx context.Context) error {
	s, err := t.client.Status(ctx)
	if err != nil {
		return err
	}
	return t.print(s, func() {
		fmt.Fprintf(t.out, "%s in %s: revision %d, draining %v\n", s.Process, s.DataCentre, s.Revision, s.Draining)
		for _, u := range s.Upstreams {
			fmt.Fprintln(t.out, upstreamLine(u))
		}
	})
}

func upstreamLine(u opapi.UpstreamStatus) string {
	return fmt.Sprintf("  %s in %s: connected %v, leaving %v, revision %d, in flight %d, running %d/%d, queued %d",
		u.Name, u.DataCentre, u.Connected, u.Leaving, u.Revision, u.InFlight, u.Running, u.Capacity, u.Queued)
}

func (t *tool) timeline(ctx context.Context) error {
	events, err := t.client.Events(ctx)
	if err != nil {
		return err
	}
	return t.print(events, func() {
		for _, e := range events {
			fmt.Fprintf(t.out, "%d.%d %s %s %s rev=%d req=%s/%d %s\n", e.At.WallUS, e.At.Count, e.Process, e.Kind, e.Object, e.Revision, e.Request, e.Attempt, e.Detail)
		}
	})
}

// print writes v as JSON, or runs text.
func (t *tool) print(v any, text func()) error {
	if t.output == "json" {
		return json.NewEncoder(t.out).Encode(v)
	}
	text()
	return nil
}
