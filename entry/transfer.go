package entry

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/guavagauge/guavagauge/platform"
	"github.com/guavagauge/guavagauge/store"
)

const (
	// inlineConfigBytes is the size up to which a configuration is part of the reply
	// to Entry.Follow. A longer one would delay the rest of that reply, and is
	// fetched with Entry.Config.
	inlineConfigBytes = 16 << 10
	// configChunkBytes is the size of the parts in which a configuration is
	// fetched. It is small enough for the nodes of a domain to fetch a part each,
	// over one slow link, while calls of Entry.Follow end in time.
	configChunkBytes = 16 << 10
	// configChunkTimeout bounds the fetch of one part. The whole transfer has no
	// time limit: it lasts as long as parts arrive.
	configChunkTimeout = time.Second
	// keptConfigs is the number of compressed configurations that a node keeps, so
	// that a transfer can end although the configuration has changed meanwhile.
	keptConfigs = 4
	// maxConfigBytes bounds the memory for a configuration from another node.
	maxConfigBytes = 64 << 20
)

type (
	// ConfigRequest asks for a part of a node's compressed configuration. Revision is a
	// token of its position in the store.
	ConfigRequest struct {
		Revision uint64 `cbor:"1,keyasint,omitzero"`
		Offset   int    `cbor:"2,keyasint,omitzero"` // in bytes
	}

	// ConfigReply holds a part of the compressed configuration.
	ConfigReply struct {
		Size  int    `cbor:"1,keyasint,omitzero"` // of the whole, in bytes; 0 if the called node doesn't have the revision
		Chunk []byte `cbor:"2,keyasint,omitzero"`
	}

	// configArchive holds the compressed configurations that other nodes fetch.
	configArchive struct {
		mu   sync.Mutex
		kept []compressedConfig // newest last
	}

	compressedConfig struct {
		revision uint64
		data     []byte
	}

	// configTransfer is the state of a configuration that is being fetched. It
	// survives a failed call, so that the next attempt continues from there.
	configTransfer struct {
		from     netip.AddrPort // nodes of different versions may compress differently
		revision uint64
		data     []byte // received so far
	}
)

// Config returns a part of this node's compressed configuration.
func (r *rpcHandler) Config(request ConfigRequest, reply *ConfigReply) (err error) {
	defer r.node.guard.Recover("Entry.Config", func() { err = errCallPanicked })
	data, err := r.node.compressedConfig(request.Revision)
	if err != nil {
		return err
	}
	reply.Size = len(data)
	if request.Offset >= 0 && request.Offset < len(data) {
		reply.Chunk = data[request.Offset:min(request.Offset+configChunkBytes, len(data))]
	}
	return nil
}

// compressedConfig returns the compressed configuration of a revision. It is nil
// if this node doesn't have that revision.
func (n *Node) compressedConfig(revision uint64) (data []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "compress configuration %d", revision)
	archive := &n.configArchive
	archive.mu.Lock()
	defer archive.mu.Unlock()
	for _, c := range archive.kept {
		if c.revision == revision {
			return c.data, nil
		}
	}
	n.storeStateMu.Lock()
	current := n.configEntry
	n.storeStateMu.Unlock()
	if token, err := current.Position().Token(); err != nil || token != revision {
		return nil, err
	}
	var buffer bytes.Buffer
	w, err := flate.NewWriter(&buffer, flate.BestSpeed)
	if err != nil {
		return nil, err
	}
	if _, err = w.Write(current.Value); err != nil {
		return nil, err
	}
	if err = w.Close(); err != nil {
		return nil, err
	}
	archive.kept = append(archive.kept, compressedConfig{revision, buffer.Bytes()})
	archive.kept = archive.kept[max(0, len(archive.kept)-keptConfigs):]
	return buffer.Bytes(), nil
}

// startConfigTransfer fetches a configuration from the node at address in the
// background, unless a transfer is running. The configuration was known to be the
// newest at the clock reading confirmedAt.
func (n *Node) startConfigTransfer(address netip.AddrPort, revision uint64, confirmedAt time.Duration) {
	if !n.transferring.CompareAndSwap(false, true) {
		return
	}
	n.guard.Go("fetch configuration", func() {
		defer n.transferring.Store(false)
		if t := &n.transfer; t.from != address || t.revision != revision {
			n.transfer = configTransfer{from: address, revision: revision}
			n.transferAdvancedAt.Store(int64(n.clock()))
		}
		startedAt := n.clock()
		value, err := n.fetchConfig(&n.transfer)
		if err != nil {
			n.count("config_transfers", "Failed")
			n.logger.Warn("configuration transfer interrupted", "Source", address, "Revision", revision,
				"Received", len(n.transfer.data), "Took", n.clock()-startedAt, "Error", err)
			return
		}
		n.transfer = configTransfer{}
		if n.applyConfig(configEntryAt(revision, value), address.String(), n.clock()-startedAt) {
			n.confirmConfig(confirmedAt)
		}
	})
}

// fetchConfig fetches the rest of a configuration, and returns the whole.
func (n *Node) fetchConfig(t *configTransfer) (value []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "fetch configuration %d", t.revision)
	for {
		ctx, cancel := context.WithTimeout(n.ctx, configChunkTimeout)
		var reply ConfigReply
		err = n.peerPool.Call(ctx, t.from, "Entry.Config", ConfigRequest{Revision: t.revision, Offset: len(t.data)}, &reply)
		cancel()
		if err != nil {
			return nil, err
		}
		if len(reply.Chunk) == 0 || len(t.data)+len(reply.Chunk) > maxConfigBytes {
			t.data = nil
			return nil, errors.Errorf("the node sent %d of %d bytes", len(reply.Chunk), reply.Size)
		}
		t.data = append(t.data, reply.Chunk...)
		n.transferAdvancedAt.Store(int64(n.clock()))
		if len(t.data) >= reply.Size {
			break
		}
	}
	value, err = io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(t.data)), maxConfigBytes))
	if err != nil {
		t.data = nil
	}
	return value, err
}

// configEntryAt returns the store entry of a configuration that another node sent. revision
// is a token of its position.
func configEntryAt(revision uint64, value []byte) (entry store.Entry) {
	position := store.PositionOf(revision)
	return store.Entry{Key: platform.ConfigKey, Value: value, Version: position.Revision, Era: position.Era}
}

// transferAdvancing reports whether a configuration is arriving from another node.
func (n *Node) transferAdvancing() (ok bool) {
	return n.transferring.Load() && n.clock()-time.Duration(n.transferAdvancedAt.Load()) < configChunkTimeout
}
