package peer

import (
	"context"
	"net/rpc"
	"reflect"
)

// localMethod is a method bound to its receiver, and the type of its reply.
type localMethod struct {
	function reflect.Value
	reply    reflect.Type
}

// localMethods returns, by the names under which they are called, the methods of
// a receiver that net/rpc would serve. It checks only the numbers of parameters and
// results and that the reply is a pointer; net/rpc also requires exported types and
// a result of type error.
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

// callLocal calls a registered method without a connection. As with a remote
// call, the method keeps running when ctx ends, and reply is only written on
// success. The data that arguments and replies refer to isn't copied; caller and
// method must not modify it.
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
	freshReply := reflect.New(m.reply)
	done := make(chan error, 1)
	go func() {
		result, _ := m.function.Call([]reflect.Value{reflect.ValueOf(args), freshReply})[0].Interface().(error)
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
	reflect.ValueOf(reply).Elem().Set(freshReply.Elem())
	return nil
}
