package wire

// configurationFactories makes the messages of configuration distribution, kinds 60 to 69.
var configurationFactories = map[Kind]factory{}
