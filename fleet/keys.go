package fleet

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
	"encoding/hex"
)

type (
	// keyIndex finds keys by the first 8 bytes of their hash. The map's timing
	// depends on the hash of what the caller sent, from which the stored hash
	// can't be approached byte by byte.
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

// HashKey returns the form in which a configuration holds a secret.
func HashKey(secret string) string {
	sum := sha256.Sum256([]byte(secret))
	return hex.EncodeToString(sum[:])
}

// indexKeys leaves out keys whose hash or workspace is invalid, so that they
// let nobody in.
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
