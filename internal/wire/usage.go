package wire

// usageFactories makes the messages of usage exchange between entries, kinds 50 to 59.
var usageFactories = map[Kind]factory{}
