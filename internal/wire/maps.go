package wire

// mapFactories makes the messages of expert map orders, kinds 70 to 79.
var mapFactories = map[Kind]factory{}
