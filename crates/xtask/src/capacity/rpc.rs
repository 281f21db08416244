//! Messages as capnp-rpc writes them to a connection.

use capnp::any_pointer;
use capnp::message::{Builder, HeapAllocator, Reader, ReaderOptions};
use capnp::serialize::OwnedSegments;
use capnp_rpc::rpc_capnp::{message, return_};
use medlarpin_core::membership::Heartbeat;
use medlarpin_core::prelude::*;
use wire::peer_capnp::peer::{exchange_params, exchange_results};
use wire::peer_capnp::vm_list;

use crate::capacity::error::CapacityError;

/// Bytes of the Ethernet, IP and TCP headers of a short call: three data segments and two
/// acknowledgements.
pub const PACKET_BYTES: usize = 5 * 66;

/// Builds a call with the parameters that `fill` writes.
pub fn call(fill: impl FnOnce(any_pointer::Builder<'_>)) -> Builder<HeapAllocator> {
    let mut message = Builder::new_default();
    let mut call = message.init_root::<message::Builder<'_>>().init_call();
    call.set_question_id(1);
    call.set_interface_id(u64::MAX);
    call.set_method_id(2);
    call.reborrow().init_target().set_imported_cap(0);
    let mut params = call.init_params();
    fill(params.reborrow().init_content());
    params.init_cap_table(0);
    message
}

/// Builds a return with the results that `fill` writes.
pub fn reply(fill: impl FnOnce(any_pointer::Builder<'_>)) -> Builder<HeapAllocator> {
    let mut message = Builder::new_default();
    let mut reply = message.init_root::<message::Builder<'_>>().init_return();
    reply.set_answer_id(1);
    reply.set_release_param_caps(false);
    let mut results = reply.init_results();
    fill(results.reborrow().init_content());
    results.init_cap_table(0);
    message
}

/// Returns the encoded size of the Finish message, with which the caller releases a call's results.
pub fn finish_bytes() -> usize {
    let mut message = Builder::new_default();
    let mut finish = message.init_root::<message::Builder<'_>>().init_finish();
    finish.set_question_id(1);
    finish.set_release_result_caps(false);
    bytes(&message)
}

/// Returns the encoded size of a message in bytes.
pub fn bytes(message: &Builder<HeapAllocator>) -> usize {
    capnp::serialize::compute_serialized_size_in_words(message) * 8
}

/// Encodes a VM list.
pub fn encoded_vm_list(list: &VmList) -> Vec<u8> {
    let mut message = Builder::new_default();
    wire::write_vm_list(list, message.init_root::<vm_list::Builder<'_>>());
    capnp::serialize::write_message_to_words(&message)
}

/// Parses an encoded VM list.
pub fn read_vm_list(mut encoded: &[u8]) -> Result<VmList, CapacityError> {
    let message = read(&mut encoded)?;
    let list = wire::read_vm_list(message.get_root::<vm_list::Reader<'_>>()?)?;
    Ok(list.unwrap_or_default())
}

/// Reads an encoded message.
pub fn read(encoded: &mut &[u8]) -> Result<Reader<OwnedSegments>, CapacityError> {
    let options = ReaderOptions::default();
    Ok(capnp::serialize::read_message(encoded, options)?)
}

/// Encodes a call and reads the heartbeat in its parameters.
pub fn read_call(message: &Builder<HeapAllocator>) -> Result<Heartbeat, CapacityError> {
    let encoded = capnp::serialize::write_message_to_words(message);
    let reader = read(&mut encoded.as_slice())?;
    let root = reader.get_root::<message::Reader<'_>>()?;
    let message::Call(call) = root.which().map_err(capnp::Error::from)? else {
        return Err(CapacityError::UnexpectedMessage);
    };
    let content = call?.get_params()?.get_content();
    let params = content.get_as::<exchange_params::Reader<'_>>()?;
    Ok(wire::read_heartbeat(params.get_heartbeat()?)?.heartbeat)
}

/// Encodes a return and reads the heartbeat in its results.
pub fn read_reply(message: &Builder<HeapAllocator>) -> Result<Heartbeat, CapacityError> {
    let encoded = capnp::serialize::write_message_to_words(message);
    let reader = read(&mut encoded.as_slice())?;
    let root = reader.get_root::<message::Reader<'_>>()?;
    let message::Return(reply) = root.which().map_err(capnp::Error::from)? else {
        return Err(CapacityError::UnexpectedMessage);
    };
    let return_::Results(results) = reply?.which().map_err(capnp::Error::from)? else {
        return Err(CapacityError::UnexpectedMessage);
    };
    let content = results?.get_content();
    let results = content.get_as::<exchange_results::Reader<'_>>()?;
    Ok(wire::read_heartbeat(results.get_heartbeat()?)?.heartbeat)
}
