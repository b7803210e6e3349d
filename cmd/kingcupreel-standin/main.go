// Command kingcupreel-standin serves one stand-in of an outside system.
package main

import "github.com/kingcupreel/kingcupreel/internal/standin/command"

func main() { command.Exit() }
