package sqcoordinator

import "context"

// orderBook is what the holder has ordered in its term.
type orderBook struct{}

func newOrderBook() orderBook { return orderBook{} }

// orderEndpoints keeps the number of endpoints in line with demand.
func (c *coordinator) orderEndpoints(context.Context) {}
