package sqgateway

import (
	"time"

	"sequoiadock/io/sqhttp"
)

const (
	// smallHeaderBytes limits the headers of requests that are not callers'.
	smallHeaderBytes = 16 << 10
	// callTimeout bounds the reading and the answering of a request that is not a caller's.
	callTimeout = 10 * time.Second
	// receiveBufferBytes and sendBufferBytes are the sizes of the kernel's buffers of a
	// caller's connection. 16 KB are enough for 25 Mbit/s at a round trip of 5 ms.
	receiveBufferBytes = 16 << 10
	sendBufferBytes    = 96 << 10
	// callerSharePercent is the part of the memory budget that one connection may hold.
	callerSharePercent = 25
)

// Percentages of the process's connections that its listeners get.
const (
	callerConnections    = 80
	directoryConnections = 10
	readinessConnections = 5
	internalConnections  = 5
)

func socketBuffers() sqhttp.SocketBuffers {
	return sqhttp.SocketBuffers{Receive: receiveBufferBytes, Send: sendBufferBytes}
}

// newServers returns the servers of callers, readiness checks, the directory and internal
// requests.
func (g *gateway) newServers() []*sqhttp.Server {
	small := func(name string, connectionPercent int) sqhttp.ServerConfig {
		return sqhttp.ServerConfig{
			Name: name, HeaderTimeout: headerTimeout, ReadTimeout: callTimeout, WriteTimeout: callTimeout, IdleTimeout: idleTimeout,
			MaxHeaderBytes: smallHeaderBytes, ConnectionPercent: connectionPercent, Buffers: socketBuffers(),
			SharePercent: callerSharePercent, BodyCost: 1,
		}
	}
	callers := sqhttp.ServerConfig{
		Name: "callers", Handler: g.callerHandler(), HeaderTimeout: headerTimeout, ReadTimeout: headerTimeout + bodyTimeout, IdleTimeout: idleTimeout,
		MaxHeaderBytes: maxHeaderBytes, ConnectionPercent: callerConnections, Buffers: socketBuffers(), SharePercent: callerSharePercent,
		Traffic: g.utilization.traffic,
	}
	readiness, directory, internal := small("readiness", readinessConnections), small("directory", directoryConnections), small("internal", internalConnections)
	readiness.Handler, directory.Handler, internal.Handler = g.cfg.ReadyHandler(g.ready), g.cfg.DirectoryHandler(g), g.internalHandler()
	return []*sqhttp.Server{g.guard.NewServer(callers), g.guard.NewServer(readiness), g.guard.NewServer(directory), g.guard.NewServer(internal)}
}
