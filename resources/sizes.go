package resources

// Sizes of what a connection needs. BenchmarkMemory of package http1 measures 19.8 KB for
// an idle connection, 13 KB more for a request with 30 header lines, 52 bytes for a
// repeated header line and 232 for one with a name of its own, all with one copy of the
// header.
const (
	// connectionBytes is the memory for an idle connection: the goroutine that reads it,
	// two buffers of 4 KiB, and the objects of net/http and of the runtime.
	connectionBytes = 20 << 10
	// requestBytes is the further memory for a request that is handled, without its body.
	requestBytes = 14 << 10
	// upstreamBytes is the memory for a connection to an upstream.
	upstreamBytes = 6 << 10
	// headByteFactor and headLineBytes are the memory for a byte and for a line of a
	// head: as it was read, as parsed, and in the two copies that are passed on.
	headByteFactor = 3
	headLineBytes  = 400
)
