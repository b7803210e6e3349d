// Package command is the command line of the stand-ins; each process runs one
// of them.
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

// serveFunc serves a stand-in on a listener.
type serveFunc func(net.Listener) error

// startFunc starts a stand-in after its flags are parsed. It may add addresses
// to ready, which is printed once the stand-in listens.
type startFunc func(ready *daemon.Ready) (serveFunc, error)

// declareFunc adds the command and flags of a stand-in to app. It returns the
// command's name and the function that starts the stand-in.
type declareFunc func(app *kingpin.Application) (string, startFunc)

var standIns = []declareFunc{declareKV, declareEngine, declarePlain, declareRaw, declareRanks, declareWeights, declareLink}

// Main parses args and serves the stand-in that they name. It returns the exit
// code.
func Main(args []string, out, errOut io.Writer) int {
	app := kingpin.New("kingcupreel-standin", "Stand-ins of the systems around kingcupreel, for tests and demos.")
	app.UsageWriter(out).ErrorWriter(errOut)
	listen := app.Flag("listen", "Address to listen on, IP:port; port 0 selects a free port.").Default("127.0.0.1:0").String()
	starters := map[string]startFunc{}
	for _, declare := range standIns {
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

// serve starts a stand-in, prints its daemon.Ready line as JSON and serves it
// on address.
func serve(name, address string, start startFunc, out io.Writer) error {
	ready := daemon.Ready{Process: name, Listen: map[string]string{}}
	serveOn, err := start(&ready)
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
	return serveOn(l)
}

// serveHTTP returns a serveFunc for h. The error is always nil; it makes the
// result fit startFunc.
func serveHTTP(h http.Handler) (serveFunc, error) {
	return func(l net.Listener) error { return http.Serve(l, h) }, nil
}

// Exit runs Main with the arguments of the process and exits with its exit
// code.
func Exit() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr)) }
