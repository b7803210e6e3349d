// Package command runs the stand-ins as a program, one stand-in a process.
package command

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"github.com/kingcupreel/kingcupreel/internal/daemon"
)

// server serves a stand-in on a listener.
type server func(net.Listener) error

// starter starts a stand-in after its flags are parsed. It may add listeners to
// the Ready line.
type starter func(ready *daemon.Ready) (server, error)

// declaration adds a stand-in's command and flags and returns its name.
type declaration func(app *kingpin.Application) (string, starter)

// declarations are the stand-ins.
var declarations = []declaration{declareKV, declareEngine, declarePlain, declareRanks, declareWeights, declareLink}

// Main parses the arguments and serves a stand-in. It returns the exit code.
func Main(args []string, out, errOut io.Writer) int {
	app := kingpin.New("kingcupreel-standin", "Stand-ins of the systems around kingcupreel, for tests and demos.")
	app.UsageWriter(out).ErrorWriter(errOut)
	listen := app.Flag("listen", "Address, IP:port; port 0 takes a free one.").Default("127.0.0.1:0").String()
	starters := map[string]starter{}
	for _, declare := range declarations {
		name, start := declare(app)
		starters[name] = start
	}
	name, err := app.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return daemon.ExitSettings
	}
	if err := serve(name, *listen, starters[name], out); err != nil {
		fmt.Fprintln(errOut, err)
		return daemon.ExitFailure
	}
	return daemon.ExitOK
}

// serve starts a stand-in, prints its Ready line and serves it.
func serve(name, address string, start starter, out io.Writer) error {
	ready := daemon.Ready{Process: name, Listen: map[string]string{}}
	run, err := start(&ready)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	ready.Listen["http"] = l.Addr().String()
	if err := json.NewEncoder(out).Encode(ready); err != nil {
		return err
	}
	return run(l)
}

// handler serves an HTTP handler.
func handler(h http.Handler) (server, error) {
	return func(l net.Listener) error { return http.Serve(l, h) }, nil
}

// Exit runs Main with the process's own arguments and exits.
func Exit() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }
