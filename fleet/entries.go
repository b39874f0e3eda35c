package fleet

import (
	"encoding/json"
	"strings"

	"github.com/juju/errors"
)

// EntryKey returns the key of an object's entry, Kind/owner/name.
func EntryKey(id ID) string { return string(id.Kind) + "/" + id.Owner + "/" + id.Name }

// Entries encodes a configuration as one JSON value per object, by EntryKey, so
// that a change to one object is distributed as one entry. Durations are in
// nanoseconds.
func Entries(config *Config) (entries map[string][]byte) {
	entries = map[string][]byte{}
	for id, object := range config.objects() {
		value, err := json.Marshal(object)
		if err != nil {
			// JSON can't encode NaN or infinities, and Parse rejects them.
			panic("fleet: " + id.String() + " can't be encoded as JSON: " + err.Error())
		}
		entries[EntryKey(id)] = value
	}
	return entries
}

// FromEntries decodes what Entries returned, fills in defaults and sorts the
// objects. Unknown fields are ignored, because nodes of a newer version may write
// them during an upgrade. Values and references aren't checked, because Parse or
// Check did so before the entries were stored.
func FromEntries(entries map[string][]byte) (config *Config, err error) {
	defer errors.DeferredAnnotatef(&err, "decode configuration entries")
	config = &Config{}
	for _, key := range sortedKeys(entries) {
		kind, _, _ := strings.Cut(key, "/")
		object := config.add(Kind(kind))
		if object == nil {
			return nil, errors.WithType(errors.Errorf("entry %q: found object kind %q; want one of %s", key, kind, joinKinds()), errors.NotValid)
		}
		if err := json.Unmarshal(entries[key], object); err != nil {
			return nil, errors.Annotatef(err, "entry %q", key)
		}
		if id := objectID(object); EntryKey(id) != key {
			return nil, errors.WithType(errors.Errorf("entry %q contains a different object, %s", key, id), errors.NotValid)
		}
	}
	config.normalize()
	return config, nil
}

// objectID returns the ID of an object, given a pointer to it.
func objectID(object any) ID {
	if o, ok := object.(*Owner); ok {
		return ID{o.Name, KindOwner, o.Name}
	}
	return object.(interface{ ID() ID }).ID()
}
