package mirror

// Serve lets simulations reply to a request without a connection.
var Serve = (*Exchange).serve
