package peer

import (
	"context"
	"net/rpc"
	"reflect"
)

// localMethod is a method of a receiver, bound to it.
type localMethod struct {
	function reflect.Value
	reply    reflect.Type
}

// localMethods returns the methods of a receiver that net/rpc would serve.
func localMethods(name string, receiver any) (methods map[string]localMethod) {
	methods = make(map[string]localMethod)
	value := reflect.ValueOf(receiver)
	for i := range value.NumMethod() {
		function := value.Method(i)
		if t := function.Type(); t.NumIn() == 2 && t.NumOut() == 1 && t.In(1).Kind() == reflect.Pointer {
			methods[name+"."+value.Type().Method(i).Name] = localMethod{function, t.In(1).Elem()}
		}
	}
	return methods
}

// callLocal calls a method of this process without a connection. As with a
// remote call, the method goes on when ctx ends, and reply is only written to
// on success. Arguments and replies aren't copied: both sides treat what they
// refer to as read-only.
func (s *Server) callLocal(ctx context.Context, method string, args, reply any) (err error) {
	if ctx.Err() != nil {
		return notSent(ctx.Err())
	}
	s.mu.RLock()
	m, ok := s.methods[method]
	s.mu.RUnlock()
	if !ok {
		return rpc.ServerError("rpc: can't find method " + method)
	}
	fresh := reflect.New(m.reply)
	done := make(chan error, 1)
	go func() {
		result, _ := m.function.Call([]reflect.Value{reflect.ValueOf(args), fresh})[0].Interface().(error)
		done <- result
	}()
	select {
	case err = <-done:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err != nil {
		return rpc.ServerError(err.Error())
	}
	reflect.ValueOf(reply).Elem().Set(fresh.Elem())
	return nil
}
