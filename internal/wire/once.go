package wire

// onceFactories makes the messages of calls that must not run twice, kinds 40 to 49.
var onceFactories = map[Kind]factory{}
