package sqcoordinator

import (
	"runtime/debug"
	"time"

	"sequoiadock/io/sqhttp"
)

const (
	// transferTimeout bounds the reading and the answering of a call, and idleTimeout the
	// idle time of a connection. Gateways close theirs earlier.
	transferTimeout = 10 * time.Second
	idleTimeout     = 2 * time.Minute
	// maxHeaderBytes limits the headers of a call.
	maxHeaderBytes = 16 << 10
	// receiveBufferBytes and sendBufferBytes are the sizes of the kernel's buffers of a
	// connection. At a round trip of 2.8 ms, 4 MB take 0.4 s; replicas expect 4 MB a second of
	// each other.
	receiveBufferBytes = 32 << 10
	sendBufferBytes    = 128 << 10
	// internalSharePercent and operatorSharePercent are the parts of the memory budget that
	// one connection may hold. Messages between replicas contain whole routing tables.
	internalSharePercent = 85
	operatorSharePercent = 50
	// maxQueuedBytes limits what is sent to another replica at once, unless it is a single
	// message, to what the other one accepts with the default memory.
	maxQueuedBytes = 8 << 20
	// bodyCost is how many bytes a handler takes for each byte of a body: the body, and its
	// copy while the buffer grows or the content is decoded.
	bodyCost = 2
)

// Percentages of the process's connections that its listeners get.
const (
	internalConnections = 85
	operatorConnections = 15
)

func socketBuffers() sqhttp.SocketBuffers {
	return sqhttp.SocketBuffers{Receive: receiveBufferBytes, Send: sendBufferBytes}
}

// newServers returns the servers of other processes and of operators. It limits the garbage
// of the process by its memory.
func (c *coordinator) newServers() []*sqhttp.Server {
	guard := sqhttp.NewGuard(sqhttp.GuardConfig{MemoryBytes: c.cfg.MemoryBytes, MaxDescriptors: c.cfg.MaxDescriptors, Metrics: c.metrics, Log: c.log})
	debug.SetMemoryLimit(guard.GCLimit())
	internal := sqhttp.ServerConfig{
		Name: "coordinators", Handler: c.internalHandler(), HeaderTimeout: headerTimeout, ReadTimeout: transferTimeout, WriteTimeout: transferTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes, ConnectionPercent: internalConnections, Buffers: socketBuffers(),
		SharePercent: internalSharePercent, BodyCost: bodyCost,
	}
	operators := internal
	operators.Name, operators.Handler, operators.ConnectionPercent = "operators", c.cfg.OperatorHandler(c), operatorConnections
	operators.SharePercent = operatorSharePercent
	return []*sqhttp.Server{guard.NewServer(internal), guard.NewServer(operators)}
}
