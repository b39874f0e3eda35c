package fleet

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
)

type (
	// keyIndex finds API keys by the first 8 bytes of their hash. The map lookup
	// doesn't take constant time, but callers can't choose the bytes of the hash
	// that is looked up, so they can't guess a stored hash byte by byte from the
	// time.
	keyIndex struct {
		byPrefix map[uint64][]keyEntry
		active   map[ID]bool
	}

	keyEntry struct {
		sum       [sha256.Size]byte
		id        ID
		workspace *Workspace
	}
)

// HashKey returns the hash of an API key's secret as Key.SHA256 has it.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// indexKeys omits keys whose hash is invalid or whose workspace is unknown, so
// that they authenticate no request.
func indexKeys(keys []Key, workspaces map[string]*Workspace) (index keyIndex) {
	index = keyIndex{byPrefix: make(map[uint64][]keyEntry, len(keys)), active: make(map[ID]bool, len(keys))}
	for i := range keys {
		k := &keys[i]
		entry := keyEntry{id: k.ID(), workspace: workspaces[k.Owner+"/"+k.Workspace]}
		sum, err := hex.DecodeString(k.SHA256)
		if err != nil || copy(entry.sum[:], sum) != sha256.Size || len(sum) != sha256.Size || entry.workspace == nil {
			continue
		}
		prefix := binary.BigEndian.Uint64(sum)
		index.byPrefix[prefix] = append(index.byPrefix[prefix], entry)
		index.active[entry.id] = true
	}
	return index
}

func (x *keyIndex) lookup(secret string) (workspace *Workspace, keyID ID, ok bool) {
	sum := sha256.Sum256([]byte(secret))
	entries := x.byPrefix[binary.BigEndian.Uint64(sum[:])]
	for i := range entries {
		if subtle.ConstantTimeCompare(entries[i].sum[:], sum[:]) == 1 {
			return entries[i].workspace, entries[i].id, true
		}
	}
	return nil, ID{}, false
}
